#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::poison {

/// A part of a request's prompt that other requests may hold as well.
struct prompt_part {
    /// As the caller names it.
    std::string id;
    std::uint64_t fingerprint{0};
};

/// What may crash the targets that run a request: the request as a whole, or a part of its prompt.
struct request_content {
    /// See forwarding::request_fingerprint.
    std::uint64_t fingerprint{0};
    std::vector<prompt_part> parts;

    /// The ids of the parts and their fingerprints, for the log.
    std::string describe_parts() const;
};

} // namespace cyclamenledge::poison
