#include "poison/crash_suspects.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cyclamenledge::poison {

crash_suspects::crash_suspects(crash_suspects_options options)
    : options_(options) {}

bool crash_suspects::on_crash(crash_notice const& notice, base::time_point now) {
    // A negative age would keep a strike for longer than its lifetime.
    auto const at = now - std::max(notice.age, base::milliseconds{0});
    if (expired(at, now))
        return false;
    auto const place = place_for(notice.fingerprint, at);
    if (at <= place->cleared)
        return false;
    auto& strikes = place->strikes;
    auto const same = std::find_if(strikes.begin(), strikes.end(),
                                   [&notice](strike const& known) { return known.target == notice.target; });
    // One target counts once, with its newest crash. Taking the maximum makes the merge independent of the order.
    bool const fresh = same == strikes.end() || (same->incarnation != notice.incarnation && at > same->at);
    if (same == strikes.end()) {
        strikes.push_back({notice.target, notice.incarnation, at});
    } else if (std::tie(at, notice.incarnation) > std::tie(same->at, same->incarnation)) {
        same->incarnation = notice.incarnation;
        same->at = at;
    }
    if (strikes.size() > options_.maximum_strikes)
        strikes.erase(std::min_element(strikes.begin(), strikes.end(), [](strike const& left, strike const& right) {
            return std::tie(left.at, left.target) < std::tie(right.at, right.target);
        }));
    touch(place, std::max(place->newest, at));
    bound();
    return fresh;
}

void crash_suspects::on_success(std::uint64_t fingerprint, base::time_point now) {
    auto const found = by_fingerprint_.find(fingerprint);
    if (found == by_fingerprint_.end())
        return;
    // The emptied entry stays until it expires, so that a late copy of a cleared notice does not count again.
    found->second->strikes.clear();
    found->second->cleared = now;
    touch(found->second, now);
}

bool crash_suspects::refuses(std::uint64_t fingerprint, base::time_point now) const {
    auto const found = by_fingerprint_.find(fingerprint);
    if (found == by_fingerprint_.end())
        return false;
    auto const& strikes = found->second->strikes;
    auto const count = std::count_if(strikes.begin(), strikes.end(),
                                     [this, now](strike const& known) { return !expired(known.at, now); });
    return static_cast<std::size_t>(count) >= options_.strikes_to_refuse;
}

std::vector<crash_notice> crash_suspects::notices(base::time_point now) const {
    std::vector<crash_notice> notices;
    for (auto const& item : suspects_) {
        for (auto const& known : item.strikes) {
            if (!expired(known.at, now))
                notices.push_back({item.fingerprint, known.target, known.incarnation,
                                   std::chrono::duration_cast<base::milliseconds>(now - known.at)});
        }
    }
    return notices;
}

void crash_suspects::expire(base::time_point now) {
    while (!suspects_.empty() && expired(suspects_.front().newest, now)) {
        by_fingerprint_.erase(suspects_.front().fingerprint);
        suspects_.pop_front();
    }
}

crash_suspects::suspect_list::iterator crash_suspects::place_for(std::uint64_t fingerprint, base::time_point at) {
    if (auto const found = by_fingerprint_.find(fingerprint); found != by_fingerprint_.end())
        return found->second;
    suspects_.push_back({fingerprint, {}, at});
    auto const place = std::prev(suspects_.end());
    by_fingerprint_.emplace(fingerprint, place);
    return place;
}

void crash_suspects::touch(suspect_list::iterator place, base::time_point at) {
    place->newest = at;
    // Notices arrive nearly in order of time, so the search from the back is short.
    auto before = suspects_.end();
    while (before != suspects_.begin()) {
        auto const previous = std::prev(before);
        if (previous != place &&
            std::tie(previous->newest, previous->fingerprint) < std::tie(place->newest, place->fingerprint))
            break;
        before = previous;
    }
    if (before != place)
        suspects_.splice(before, suspects_, place);
}

void crash_suspects::bound() {
    while (suspects_.size() > options_.maximum_fingerprints) {
        by_fingerprint_.erase(suspects_.front().fingerprint);
        suspects_.pop_front();
    }
}

} // namespace cyclamenledge::poison
