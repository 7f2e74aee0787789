#pragma once

#include "forwarding/fleet_view.h"
#include "forwarding/local_retry_budget.h"
#include "forwarding/publication_table.h"
#include "forwarding/request_queue.h"
#include "forwarding/route_set.h"
#include "forwarding/store_knowledge.h"
#include "platform/store_client.h"
#include "poison_control/poison_controller.h"

#include <array>
#include <map>
#include <string>
#include <utility>

namespace cyclamenledge::forwarding_entry {

/// The tables of a forwarding entry. Only the thread of the event loop accesses them, so none has a lock.
struct blackboard {
    blackboard(forwarding::fleet_view view, forwarding::retry_bound const& bound)
        : fleet(std::move(view))
        , retry_bound(bound) {}

    forwarding::publication_table publications;
    /// Indexed by platform::store_part.
    std::array<forwarding::store_knowledge, 2> store;
    forwarding::route_set_pointer routes;
    /// Whether the targets were listed at least once, by the store or by a peer.
    bool targets_listed{false};
    forwarding::fleet_view fleet;
    forwarding::request_queue queue;
    forwarding::retry_bound retry_bound;
    base::time_point started_at{base::clock::now()};
    std::map<std::string, forwarding::local_retry_budget, std::less<>> retry_budgets;
    poison_control::guarded_suspects suspects;

    forwarding::store_knowledge const& announcements() const {
        return store.at(static_cast<std::size_t>(platform::store_part::targets));
    }
    forwarding::local_retry_budget& retry_budget(std::string const& service) {
        return retry_budgets.try_emplace(service, retry_bound, started_at).first->second;
    }
};

} // namespace cyclamenledge::forwarding_entry
