#pragma once

#include "base/time.h"
#include "configuration/publication.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace cyclamenledge::configuration {

/// One requested part.
struct open_part_request {
    std::string source;
    base::time_point deadline{};
};

/// The transfer of the parts of one publication.
struct part_fetch {
    publication_index index;
    std::map<std::uint64_t, part_pointer> parts;
    std::map<std::uint64_t, open_part_request> requests;
    /// Sources that timed out or lacked a part.
    std::set<std::string, std::less<>> failed_sources;
    /// Every part has been handed over for validation.
    bool complete{false};
};

} // namespace cyclamenledge::configuration
