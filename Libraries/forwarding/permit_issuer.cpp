#include "forwarding/permit_issuer.h"

#include <algorithm>
#include <cmath>

namespace cyclamenledge::forwarding {

namespace {

base::duration interval_of(double per_second) {
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>{1 / per_second});
}

base::milliseconds whole_milliseconds(base::duration length) {
    return std::chrono::ceil<base::milliseconds>(length);
}

} // namespace

permit_issuer::issued_target* permit_issuer::find_or_add(target_incarnation const& target, base::time_point now) {
    auto [found, added] = targets_.try_emplace(target.id);
    auto& known = found->second;
    if (!added && target.started_at < known.started_at)
        return nullptr;
    if (added || target.started_at > known.started_at)
        known = {target.started_at, {}, 0, now + horizon, now};
    known.used_at = now;
    return &known;
}

permit_answer permit_issuer::answer(permit_request const& request, base::time_point now) {
    auto* known = find_or_add(request.target, now);
    if (known == nullptr)
        return {{}, horizon};
    auto rate = request.per_second;
    if (auto const& limit = known->limit.per_second())
        rate = std::min(rate, *limit * issued_limit_share);
    auto const interval = interval_of(std::max(rate, lowest_rate));
    auto& next = known->next_start;
    next = std::max(next, now);
    next = std::min(next + request.unpermitted * interval, std::max<base::time_point>(next, now + longest_delay));
    auto const latest = now + std::min(request.within, horizon);
    permit_answer made;
    while (made.starts_in.size() < std::min(request.wanted, most_permits) && next <= latest) {
        made.starts_in.push_back(whole_milliseconds(next - now));
        next += interval;
    }
    made.available_in = whole_milliseconds(std::max<base::duration>(next - latest, base::duration{0}));
    return made;
}

bool permit_issuer::observe(target_incarnation const& target, limit_observation const& seen, base::time_point now) {
    auto* known = find_or_add(target, now);
    if (known == nullptr)
        return false;
    known->limit.merge(seen);
    auto const& limit = known->limit.per_second();
    auto const effective = limit ? std::max(*limit, lowest_rate) : 0;
    if (std::abs(effective - known->told) <= significant_change * known->told)
        return false;
    known->told = effective;
    return true;
}

limit_observation permit_issuer::find_limit(std::string_view target) const {
    auto const found = targets_.find(target);
    return found == targets_.end() ? limit_observation{} : found->second.limit.latest();
}

std::vector<permit_issuer::known_limit> permit_issuer::limits() const {
    std::vector<known_limit> found;
    for (auto const& [id, target] : targets_) {
        if (target.limit.per_second())
            found.push_back({{id, target.started_at}, target.limit.latest()});
    }
    return found;
}

void permit_issuer::expire(base::time_point now) {
    std::erase_if(targets_, [now](auto const& entry) { return now - entry.second.used_at > retention; });
}

} // namespace cyclamenledge::forwarding
