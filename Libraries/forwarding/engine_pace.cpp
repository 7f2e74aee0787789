#include "forwarding/engine_pace.h"

#include "forwarding/engine_step.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::forwarding {

void engine_pace::observe_report(engine_report const& report, base::time_point now) {
    auto const elapsed = now - reported_at_;
    reported_at_ = now;
    std::map<std::string, std::uint32_t> events;
    for (auto const& running : report.generating) {
        // A request is listed from its first event on, so zero means that the engine does not list events.
        if (running.events > 0)
            events.emplace(running.request, running.events);
    }
    auto const before = std::exchange(events_, std::move(events));
    if (elapsed > longest_interval) {
        expected_ = 0;
        gained_ = 0;
        return;
    }
    auto const step = engine_step::length(static_cast<double>(report.generating.size()), report.reading > 0 ? 1 : 0);
    auto const expected = std::chrono::duration<double, std::milli>(elapsed).count() / (steps_per_event * step);
    for (auto const& [request, count] : events_) {
        auto const earlier = before.find(request);
        if (earlier == before.end() || count < earlier->second)
            continue;
        expected_ += expected;
        gained_ += count - earlier->second;
    }
    if (expected_ < minimum_events)
        return;
    // Without any event, the pace is at least that at which the next one is due now.
    measured_.observe(expected_ / std::max(gained_, 1.0), now);
    expected_ = 0;
    gained_ = 0;
}

bool engine_pace::contradicts_measurement(double pace, base::time_point now) const {
    auto const differs = [pace](std::optional<double> measured) {
        return !measured || contradicts_pace(pace, *measured);
    };
    // The pace is that of the head of the stream, which is older than the present measurement.
    return measured_.known() && differs(measured_.usual()) && differs(measured_.present(now));
}

bool engine_pace::observe_stated(double pace, base::time_point now) {
    auto const limited = limit_pace(pace);
    followed_ = followed_ || limited;
    if (!limited || contradicts_measurement(*limited, now))
        return false;
    stated_.observe(*limited, now);
    return true;
}

std::optional<double> engine_pace::usual() const {
    return stated_.known() ? stated_.usual() : measured_.usual();
}

std::optional<double> engine_pace::present(base::time_point now) const {
    auto const measured = measured_.present(now);
    if (!measured)
        return std::nullopt;
    return limit_pace(*measured / *measured_.usual() * *usual());
}

engine_report engine_pace::complete(engine_report report, base::time_point now) const {
    report.pace = usual().value_or(0);
    report.pace_now = present(now).value_or(0);
    return report;
}

} // namespace cyclamenledge::forwarding
