#include "forwarding_entry/agent_directory.h"

namespace cyclamenledge::forwarding_entry {

link::connection_pointer agent_directory::find(std::string const& engine_address) const {
    auto const found = agents_.find(engine_address);
    return found == agents_.end() ? nullptr : hub_.find_connection(found->second);
}

} // namespace cyclamenledge::forwarding_entry
