#include "forwarding_entry/crash_notice_recipients.h"

#include "forwarding_entry/agent_choice.h"
#include "settings/settings.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <string>

namespace cyclamenledge::forwarding_entry {

namespace {

// Two machines and a failure domain may fail at the same time.
constexpr std::size_t agents_per_fingerprint = 3;

} // namespace

std::vector<link::connection_pointer> crash_notice_recipients(link::hub const& hub,
                                                              poison_control::outgoing_notice const& notice) {
    auto recipients = choose_agents(hub, std::to_string(notice.fingerprint), agents_per_fingerprint);
    bool const from_entry =
        notice.source != nullptr &&
        static_cast<settings::process_role>(notice.source->peer().role) == settings::process_role::forwarding_entry;
    // Without agents, only entries can pass it on.
    if (!from_entry || recipients.empty())
        std::ranges::copy(connected_entries(hub), std::back_inserter(recipients));
    return recipients;
}

} // namespace cyclamenledge::forwarding_entry
