#pragma once

#include "base/time.h"
#include "configuration/publication.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cyclamenledge::configuration {

/// A part request without a response so far.
struct pending_part_request {
    std::string source;
    base::time_point deadline{};
};

/// The transfer of the parts of one publication.
struct part_fetch {
    publication_index index;
    std::map<std::uint64_t, part_pointer> parts;
    std::map<std::uint64_t, pending_part_request> requests;
    /// Sources that timed out or lacked a part.
    std::set<std::string, std::less<>> failed_sources;
    /// Whether all parts have been returned for validation.
    bool complete{false};
};

} // namespace cyclamenledge::configuration
