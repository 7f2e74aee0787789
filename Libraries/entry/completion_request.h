#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>

namespace cyclamenledge::entry {

/// A caller's completion request, in the shape of the usual completion API.
struct completion_request {
    /// Name of the service.
    std::string model;
    std::string prompt;
    /// Zero when the caller sets no bound.
    std::uint32_t max_tokens{0};
    bool stream{false};
};

/// Reads the JSON body. Unknown members are ignored, because clients send many that do not apply here.
base::result<completion_request> parse_completion_request(std::string const& body);

} // namespace cyclamenledge::entry
