#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>

namespace cyclamenledge::forwarding {

enum class target_state : std::uint8_t { serving, leaving };

/// A target as it announces itself.
struct target_record {
    /// Differs after most restarts. Requests name it, so that another process at the same address refuses them.
    std::string id;
    std::string service;
    /// IP:PORT
    std::string address;
    std::string failure_domain;
    std::uint32_t slots{1};
    target_state state{target_state::serving};
    /// How long the target stays cold, as of its announcement.
    base::milliseconds cold_left{};
    /// Unix time of its start in milliseconds. Distinguishes incarnations that kept their id.
    std::int64_t started_at{0};
};

} // namespace cyclamenledge::forwarding
