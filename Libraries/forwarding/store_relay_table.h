#pragma once

#include "base/time.h"
#include "forwarding/store_revision.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cyclamenledge::forwarding {

/// What an entry that reads the metadata store tells the entries that follow it.
struct relay_report {
    /// The relay has sent every change up to this revision.
    store_revision as_of;
    /// The relay's own clock when it sent the report. Clocks of two processes are never compared with each other.
    base::milliseconds sent_at{0};
    /// Time from the moment for which the revision was confirmed as the store's newest to the sending of the report.
    base::milliseconds age{0};
};

/// The state of the metadata store that the relays together have reported.
struct relayed_state {
    store_revision as_of;
    /// When the revision was the store's newest one, on the clock of this process.
    base::time_point confirmed_at;
};

/// Tracks the entries that relay changes of the metadata store to this entry, so that it need not watch the store
/// itself. In a large deployment, a watch by every process would cost the store one response per process for every
/// change. A relay that has lost the store goes on reporting, so a report counts by the age of what it says.
class store_relay_table {
public:
    void on_report(std::string const& relay, relay_report const& report, base::time_point now);
    void remove(std::string const& relay) { relays_.erase(relay); }
    /// No value without a relay.
    std::optional<relayed_state> newest() const;

private:
    struct relay_status {
        relayed_state state;
        /// Own clock minus the relay's, when a report took least time on its way. A report that is late by comparison
        /// is older than its age says. No value before the first report.
        std::optional<base::duration> clock_offset;
        base::time_point reported_at;
    };
    std::map<std::string, relay_status> relays_;
};

} // namespace cyclamenledge::forwarding
