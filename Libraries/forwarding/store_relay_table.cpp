#include "forwarding/store_relay_table.h"

#include <algorithm>

namespace cyclamenledge::forwarding {

void store_relay_table::on_report(std::string const& relay, relay_report const& report, base::time_point now) {
    auto& [state, clock_offset] = relays_[relay];
    clock_offset = std::min<base::duration>(clock_offset, now.time_since_epoch() - report.sent_at);
    base::time_point const sent_at{report.sent_at + clock_offset};
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
