#pragma once

#include <cstdint>
#include <string>

namespace cyclamenledge::catalogue {

/// Whether operators offer something for new work.
enum class service_state : std::uint8_t { in_service, out_of_service };

/// A zone that fails or is taken out as a whole.
struct failure_domain {
    std::string name;
    std::string region;
    service_state state{service_state::in_service};

    friend bool operator==(failure_domain const&, failure_domain const&) = default;
};

} // namespace cyclamenledge::catalogue
