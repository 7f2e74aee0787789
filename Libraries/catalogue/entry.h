#pragma once

#include <string>

namespace cyclamenledge::catalogue {

/// An entry daemon as published, for credit and for the dissemination of configuration.
struct entry {
    std::string name;
    std::string failure_domain;
    std::string vm;
    /// Where it listens for other processes of the system, as IP:PORT.
    std::string peer_address;

    friend bool operator==(entry const&, entry const&) = default;
};

} // namespace cyclamenledge::catalogue
