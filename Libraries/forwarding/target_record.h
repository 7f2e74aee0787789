#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>

namespace cyclamenledge::forwarding {

enum class target_state : std::uint8_t { serving, leaving };

/// The data that a target publishes about itself.
struct target_record {
    /// Changes with most restarts. Requests carry the id, so that another process at the same address rejects them.
    std::string id;
    std::string service;
    /// IP:PORT
    std::string address;
    std::string failure_domain;
    std::uint32_t slots{1};
    target_state state{target_state::serving};
    /// Remaining warm-up time when the record was published.
    base::milliseconds cold_left{};
    /// Version of the software that the target runs, as the target names it. It has no order. Targets that name none
    /// are taken to run one version.
    std::string software_version;
    /// Unix time of the target's start in milliseconds. Distinguishes incarnations with the same id.
    std::int64_t started_at{0};
    /// Counts the announcements of an incarnation. Zero when it does not say.
    std::uint64_t sequence{0};
};

} // namespace cyclamenledge::forwarding
