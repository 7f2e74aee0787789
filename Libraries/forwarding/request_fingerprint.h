#pragma once

#include "base/hash.h"

#include <cstdint>
#include <string_view>

namespace cyclamenledge::forwarding {

/// Identifies the content of a request. A caller that sends a request again uses a new request id, so attempts with the
/// same content are recognised by organisation, path and body.
inline std::uint64_t request_fingerprint(std::string_view organisation, std::string_view path, std::string_view body) {
    return base::hash_text(body, base::hash_text(path, base::hash_text(organisation)));
}

/// Identifies a part of a prompt, whichever organisation sends it.
inline std::uint64_t prompt_part_fingerprint(std::string_view id) {
    return base::hash_text(id, base::hash_text("prompt part"));
}

} // namespace cyclamenledge::forwarding
