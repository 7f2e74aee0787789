#include "forwarding/store_knowledge.h"

#include <algorithm>

namespace cyclamenledge::forwarding {

void store_knowledge::confirm(base::time_point at) {
    if (confirmed_at_ && at <= *confirmed_at_)
        return;
    if (confirmed_at_ && at - *confirmed_at_ >= shortest_expiry)
        doubt_until_ = at + announcement_return;
    confirmed_at_ = at;
}

base::milliseconds store_knowledge::watch_wait(base::time_point now) const {
    if (!confirmed_at_)
        return watch_period;
    auto const age = std::chrono::duration_cast<base::milliseconds>(now - *confirmed_at_);
    return std::clamp(watch_period - age, shortest_watch, watch_period);
}

bool store_knowledge::removals_in_doubt(base::time_point now) const {
    return now < doubt_until_ || (confirmed_at_ && now - *confirmed_at_ >= shortest_expiry);
}

base::time_point store_knowledge::unchanged_at(base::time_point sent_at, base::milliseconds wait,
                                               base::time_point received_at) {
    return std::min(received_at, sent_at + wait);
}

} // namespace cyclamenledge::forwarding
