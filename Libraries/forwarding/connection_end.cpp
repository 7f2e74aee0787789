#include "forwarding/connection_end.h"

#include "base/name_table.h"

namespace cyclamenledge::forwarding {

namespace {

constexpr base::name_table<incarnation_state, incarnation_state_count> names{
    base::make_names({"running", "ended", "unknown"})};

} // namespace

std::string_view name_of(incarnation_state state) {
    return names.name(state);
}

incarnation_state state_shown_by(run_evidence evidence) {
    switch (evidence) {
    case run_evidence::working:
    case run_evidence::may_wait:
    case run_evidence::not_there:
        return incarnation_state::running;
    case run_evidence::replaced:
    case run_evidence::process_ended:
        return incarnation_state::ended;
    default:
        return incarnation_state::unknown;
    }
}

bool ends_whole_answer(incarnation_state state, stop_effect stopped) {
    return state == incarnation_state::running && stopped == stop_effect::none;
}

} // namespace cyclamenledge::forwarding
