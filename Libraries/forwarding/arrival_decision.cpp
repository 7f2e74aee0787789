#include "forwarding/arrival_decision.h"

#include <algorithm>

namespace cyclamenledge::forwarding {

namespace {

// How long a request waits for room that can no longer be on time.
constexpr base::milliseconds late_wait{500};

base::milliseconds time_between(base::time_point start, base::time_point end) {
    return std::chrono::duration_cast<base::milliseconds>(std::max(base::duration{0}, end - start));
}

} // namespace

base::milliseconds request_limits::useful_wait(base::time_point now) const {
    return std::min(time_between(now, give_up_at), std::max(late_wait, time_between(now, on_time_until)));
}

void room_outlook::add(base::milliseconds room_in, double engine_per_second, base::milliseconds report_age) {
    ++informed;
    first_room = std::min(first_room, room_in);
    per_second += engine_per_second;
    oldest_report = std::max(oldest_report, report_age);
}

arrival_verdict decide_arrival(room_outlook const& outlook, base::milliseconds useful_for) {
    // An engine whose agent is silent may have room, so its state is no reason to refuse.
    bool const all_informed = outlook.engines > 0 && outlook.informed == outlook.engines;
    return all_informed && outlook.first_room > useful_for ? arrival_verdict::refuse : arrival_verdict::accept;
}

} // namespace cyclamenledge::forwarding
