#pragma once

#include "http/message.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::platform::standin {

struct caller_call {
    std::string id;
    std::string host;
    std::string path;
    std::string api_key;
    std::uint32_t deadline_milliseconds{0};
    /// Zero for a plain call.
    std::uint32_t prompt_tokens{0};
    std::uint32_t output_tokens{0};
    /// Empty for a body that no other request has.
    std::string body{};
    /// Parts of the prompt, each as ID:TOKENS, separated by commas. Empty for none.
    std::string prompt_parts{};
    /// The last event of a stream that the caller takes up again, and its request that brought the first one. Zero and
    /// empty for none.
    std::uint64_t last_event{0};
    std::string resumed_request{};
};

/// The request as a caller of the platform sends it.
http::request encode_call(caller_call const& call);

struct published_route {
    std::string prefix;
    std::string service;
    std::string kind;
    bool resumable{false};
    std::uint32_t maximum_attempts{1};
    std::uint32_t timeout_milliseconds{0};
    std::uint32_t objective_milliseconds{0};
};

/// The operator's configuration: one host, one organisation with one key, a service "engine" of engines and others that
/// are plain.
std::string encode_configuration(std::uint64_t version, std::string const& host, std::string const& api_key,
                                 std::vector<published_route> const& routes, std::vector<std::string> const& services);

} // namespace cyclamenledge::platform::standin
