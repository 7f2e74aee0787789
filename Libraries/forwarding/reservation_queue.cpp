#include "forwarding/reservation_queue.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>
#include <utility>

namespace cyclamenledge::forwarding {

namespace {

auto rank(waiting_reservation const& item, base::time_point now) {
    bool const late = now >= item.on_time_until;
    return std::tuple{late && item.urgent.deferrable(), item.urgent.rank(), late, item.arrived_at};
}

auto by_rank(base::time_point now) {
    return [now](waiting_reservation const& item) { return rank(item, now); };
}

/// Removes the requests that meet a condition and returns them in the order in which they were added.
template <class Condition>
std::vector<waiting_reservation> take_if(std::vector<waiting_reservation>& waiting, Condition const& condition) {
    auto const kept = std::stable_partition(waiting.begin(), waiting.end(), condition);
    std::vector<waiting_reservation> taken{std::make_move_iterator(waiting.begin()), std::make_move_iterator(kept)};
    waiting.erase(waiting.begin(), kept);
    return taken;
}

} // namespace

std::optional<waiting_reservation> reservation_queue::add(waiting_reservation item, base::time_point now) {
    remove(item.requested.request);
    waiting_.push_back(std::move(item));
    if (waiting_.size() <= maximum_waiting)
        return std::nullopt;
    // The last of several with the same rank is the one that was added last.
    auto const last = std::ranges::max_element(waiting_.rbegin(), waiting_.rend(), {}, by_rank(now));
    auto removed = std::move(*last);
    waiting_.erase(std::next(last).base());
    return removed;
}

void reservation_queue::remove(std::string const& request) {
    std::erase_if(waiting_, [&](waiting_reservation const& item) { return item.requested.request == request; });
}

void reservation_queue::remove_entry(std::uint64_t entry) {
    std::erase_if(waiting_, [&](waiting_reservation const& item) { return item.requested.entry == entry; });
}

std::vector<waiting_reservation>
reservation_queue::grant(std::function<bool(waiting_reservation const&)> const& try_grant, base::time_point now) {
    std::vector<waiting_reservation*> order(waiting_.size());
    std::ranges::transform(waiting_, order.begin(), [](waiting_reservation& item) { return &item; });
    std::ranges::stable_sort(order, {}, [now](waiting_reservation const* item) { return rank(*item, now); });
    std::vector<waiting_reservation> granted;
    bool deferrable_held_back = false;
    for (auto* item : order) {
        if (deferrable_held_back && item->urgent.deferrable())
            continue;
        if (try_grant(*item))
            granted.push_back(*item);
        else if (item->urgent.deferrable())
            deferrable_held_back = true;
        else
            break;
    }
    for (auto const& item : granted)
        remove(item.requested.request);
    return granted;
}

std::vector<waiting_reservation> reservation_queue::expire(base::time_point now) {
    return take_if(waiting_, [&](waiting_reservation const& item) { return now >= item.expires_at; });
}

std::vector<waiting_reservation> reservation_queue::clear() {
    return std::exchange(waiting_, {});
}

std::vector<waiting_reservation> reservation_queue::ahead_of(waiting_reservation const& item,
                                                             base::time_point now) const {
    std::vector<waiting_reservation> ahead;
    for (auto const& other : waiting_) {
        if (rank(other, now) < rank(item, now))
            ahead.push_back(other);
    }
    return ahead;
}

std::optional<base::time_point> reservation_queue::next_expiry() const {
    auto const first = std::ranges::min_element(waiting_, {}, &waiting_reservation::expires_at);
    return first == waiting_.end() ? std::nullopt : std::optional{first->expires_at};
}

std::uint32_t reservation_queue::memory_tokens() const {
    std::uint64_t sum = 0;
    for (auto const& item : waiting_)
        sum += item.requested.memory_tokens;
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(sum, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace cyclamenledge::forwarding
