#include "forwarding/store_relay_table.h"

#include <algorithm>

namespace cyclamenledge::forwarding {

namespace {

// The clocks of two machines may drift apart by one part in this, which is more than those of computers do.
constexpr int drift_divisor = 2000;

} // namespace

void store_relay_table::on_report(std::string const& relay, relay_report const& report, base::time_point now) {
    auto& [state, clock_offset, reported_at] = relays_[relay];
    base::duration const offset = now.time_since_epoch() - report.sent_at;
    clock_offset = std::min(offset, clock_offset.value_or(offset) + (now - reported_at) / drift_divisor);
    reported_at = now;
    base::time_point const sent_at{report.sent_at + *clock_offset};
    state.as_of = std::max(state.as_of, report.as_of);
    state.confirmed_at = std::max(state.confirmed_at, sent_at - report.age);
}

std::optional<relayed_state> store_relay_table::newest() const {
    if (relays_.empty())
        return std::nullopt;
    relayed_state newest;
    for (auto const& [relay, status] : relays_) {
        newest.as_of = std::max(newest.as_of, status.state.as_of);
        newest.confirmed_at = std::max(newest.confirmed_at, status.state.confirmed_at);
    }
    return newest;
}

} // namespace cyclamenledge::forwarding
