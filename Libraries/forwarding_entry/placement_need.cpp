#include "forwarding_entry/placement_need.h"

namespace cyclamenledge::forwarding_entry {

placement_need make_placement_need(request_context const& request, std::vector<std::string> const& excluded) {
    placement_need need;
    need.request_id = request.caller.id;
    need.request = request.placement();
    need.request.excluded = excluded;
    need.priority = request.priority();
    need.request.urgent = request.urgency();
    need.arrived = request.arrived;
    return need;
}

} // namespace cyclamenledge::forwarding_entry
