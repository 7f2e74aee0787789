#include "agent/call_table.h"

namespace cyclamenledge::agent {

bool call_table::close_settled(std::string_view scoped) {
    auto const state = keys->state_of(scoped);
    auto const found = open.find(scoped);
    if (found == open.end() || state == once::key_state::asking || state == once::key_state::running)
        return false;
    bool const counted = found->second.counted;
    open.erase(found);
    return counted;
}

} // namespace cyclamenledge::agent
