#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding {

/// Retry semantics of a route, as declared by the operator.
enum class request_kind : std::uint8_t { idempotent, non_idempotent, stream, resumable_stream };

constexpr bool is_stream(request_kind kind) {
    return kind == request_kind::stream || kind == request_kind::resumable_stream;
}

/// Whether a request of this kind may run more than once.
constexpr bool may_run_again(request_kind kind) {
    return kind == request_kind::idempotent || kind == request_kind::resumable_stream;
}

/// A service that receives a share of a route's requests in proportion to its weight.
struct weighted_service {
    std::string service;
    std::uint32_t weight{1};
};

/// Selects requests by host and path prefix and declares how they are served.
struct route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<weighted_service> services;
    request_kind kind{request_kind::non_idempotent};
    /// Longest time from the arrival of a request to its final answer.
    base::milliseconds timeout{};
    /// Objective for the time to the response, or to the first event of a stream.
    base::milliseconds latency_objective{};
    /// Objective for the longest pause between two events of a stream. Zero for none.
    base::milliseconds pause_objective{};
    /// 0 is the most urgent.
    std::uint32_t priority{0};
    /// Maximum number of targets on which one request may run.
    std::uint32_t maximum_attempts{1};
    /// Requests need no API key.
    bool public_access{false};
    /// Regions that may run the requests. Empty allows all.
    std::vector<std::string> home_regions;
};

/// Capacity of each engine of a service.
struct engine_capacity {
    std::uint32_t slots{1};
    /// KV cache capacity in tokens, shared by the running requests and the prefix cache.
    std::uint32_t memory_tokens{0};
    /// Whether the memory of a running request can be copied to another engine.
    bool moves{false};
    /// Whether the memory of a running request can be replicated while it grows.
    bool backups{false};
    std::uint32_t tokens_per_event{1};
};

struct service {
    std::string name;
    /// Maximum requests per second for a cold target. Zero for no limit.
    double cold_rate{0};
    std::optional<engine_capacity> engine;
};

/// Bounds on what a caller may send.
struct input_limits {
    std::uint32_t header_bytes{16 * 1024};
    std::uint64_t body_bytes{4 * 1024 * 1024};
    base::milliseconds header_timeout{3000};
    base::milliseconds idle_timeout{15000};
};

/// An organisation and the API keys that authenticate its requests.
struct organisation {
    std::string name;
    /// Overrides the priority of the route if set.
    std::optional<std::uint32_t> priority;
    std::vector<std::string> home_regions;
    std::vector<std::string> api_keys;
};

} // namespace cyclamenledge::forwarding
