#include "forwarding/local_retry_budget.h"

#include <algorithm>

namespace cyclamenledge::forwarding {

void local_retry_budget::drop_expired(base::time_point now) {
    auto const drop = [&](std::deque<base::time_point>& times) {
        while (!times.empty() && now - times.front() > bound_.window)
            times.pop_front();
    };
    drop(requests_);
    drop(spent_);
}

void local_retry_budget::count_request(base::time_point now) {
    drop_expired(now);
    requests_.push_back(now);
}

double local_retry_budget::reserve_part(std::optional<std::uint32_t> entries, base::time_point now) const {
    // A predecessor of this process may have used the part shortly before it ended.
    if (!entries || now - process_started_ < bound_.window)
        return 0;
    return bound_.reserve / *entries;
}

double local_retry_budget::allowed(std::optional<std::uint32_t> entries, base::time_point now) const {
    return used_part * (bound_.share * static_cast<double>(requests_.size()) + reserve_part(entries, now));
}

bool local_retry_budget::try_spend(std::optional<std::uint32_t> entries, base::time_point now) {
    drop_expired(now);
    if (static_cast<double>(spent_.size()) + 1 > allowed(entries, now))
        return false;
    spent_.push_back(now);
    return true;
}

void local_retry_budget::give_back(base::time_point spent_at) {
    if (auto const found = std::ranges::find(spent_, spent_at); found != spent_.end())
        spent_.erase(found);
}

void local_retry_budget::spend(base::time_point now) {
    drop_expired(now);
    spent_.push_back(now);
}

retry_budget_use local_retry_budget::use(std::optional<std::uint32_t> entries, base::time_point now) {
    drop_expired(now);
    return {requests_.size(), spent_.size(), allowed(entries, now)};
}

} // namespace cyclamenledge::forwarding
