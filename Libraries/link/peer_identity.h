#pragma once

#include <cstdint>
#include <string>

namespace cyclamenledge::link {

/// Identifies a process of the system. The incarnation differs in every run of the process.
struct peer_identity {
    std::string process;
    std::uint64_t incarnation{0};
    std::uint8_t role{0};
    std::string failure_domain;
};

} // namespace cyclamenledge::link
