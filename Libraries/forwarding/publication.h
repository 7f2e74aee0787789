#pragma once

#include <cstdint>
#include <string>

namespace cyclamenledge::forwarding {

/// What the operator or a target publishes.
enum class publication_kind : std::uint8_t { configuration, evacuation, target };

/// One published document with the revision of its last change. Passed on between processes as it was read.
struct publication {
    publication_kind kind{publication_kind::configuration};
    /// The failure domain of an evacuation or the id of a target. Empty for the configuration.
    std::string name;
    std::uint64_t revision{0};
    bool removed{false};
    std::string text;
};

} // namespace cyclamenledge::forwarding
