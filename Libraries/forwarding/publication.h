#pragma once

#include "forwarding/store_revision.h"

#include <cstdint>
#include <string>

namespace cyclamenledge::forwarding {

/// Kind of document that the operator or a target publishes.
enum class publication_kind : std::uint8_t { configuration, evacuation, target };

/// A published document with the revision of its last change. Processes relay it to each other unmodified.
struct publication {
    publication_kind kind{publication_kind::configuration};
    /// The failure domain of an evacuation or the id of a target. Empty for the configuration.
    std::string name;
    store_revision revision;
    bool removed{false};
    std::string text;
    /// Version of a configuration. It orders configurations before their revisions, because the store may come back
    /// with an earlier one. Zero for other documents.
    std::uint64_t version{0};
};

} // namespace cyclamenledge::forwarding
