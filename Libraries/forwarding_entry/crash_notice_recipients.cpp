#include "forwarding_entry/crash_notice_recipients.h"

#include "base/hash.h"
#include "settings/settings.h"

#include <algorithm>
#include <iterator>
#include <string>

namespace cyclamenledge::forwarding_entry {

namespace {

// Two machines and a failure domain may fail at the same time.
constexpr std::size_t agents_per_fingerprint = 3;

} // namespace

std::vector<link::connection_pointer> crash_notice_recipients(link::hub const& hub,
                                                              poison_control::outgoing_notice const& notice) {
    std::vector<link::connection_pointer> recipients;
    std::vector<link::connection_pointer> agents;
    for (auto const& connection : hub.ready_connections()) {
        auto const role = static_cast<settings::process_role>(connection->peer().role);
        if (role == settings::process_role::forwarding_entry)
            recipients.push_back(connection);
        else if (role == settings::process_role::forwarding_agent)
            agents.push_back(connection);
    }
    auto const key = std::to_string(notice.fingerprint);
    bool const from_entry =
        notice.source != nullptr &&
        static_cast<settings::process_role>(notice.source->peer().role) == settings::process_role::forwarding_entry;
    // Without agents, only entries can pass it on.
    if (from_entry && !agents.empty())
        recipients.clear();
    auto const chosen = std::min(agents_per_fingerprint, agents.size());
    std::ranges::partial_sort(agents, agents.begin() + static_cast<std::ptrdiff_t>(chosen), std::greater{},
                              [&](auto const& agent) { return base::rendezvous_score(key, agent->peer().process); });
    std::ranges::copy_n(agents.begin(), static_cast<std::ptrdiff_t>(chosen), std::back_inserter(recipients));
    return recipients;
}

} // namespace cyclamenledge::forwarding_entry
