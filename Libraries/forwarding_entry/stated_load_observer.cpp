#include "forwarding_entry/stated_load_observer.h"

namespace cyclamenledge::forwarding_entry {

double apply_stated_load(entry_parts& parts, std::string const& service, forwarding::target_incarnation const& target,
                         platform::answer_metadata const& answer) {
    auto& fleet = parts.board.fleet;
    auto const* view = fleet.find(target.id);
    // Another incarnation at the address may run on another machine.
    bool const current = view != nullptr && view->record.started_at == target.started_at && !answer.other_target;
    if (!fleet.follows_pace() || !current)
        return 0;
    if (answer.load_malformed)
        parts.metrics.add(metrics::counter_kind::paces_ignored);
    if (!answer.load)
        return 0;
    fleet.update_load(target.id, *answer.load, base::clock::now());
    if (!answer.load->pace)
        return 0;
    fleet.on_pace_stated(service);
    return *answer.load->pace;
}

} // namespace cyclamenledge::forwarding_entry
