#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::forwarding {

/// A request that is queued until a target has room.
struct queued_request {
    std::uint64_t number{0};
    std::string service;
    /// 0 is the most urgent.
    std::uint32_t priority{0};
    base::time_point arrived{};
    /// Latest time of placement at which the request can still meet its latency objective.
    base::time_point on_time_until{};
};

/// Queue of the requests that wait for placement. Requests that can still meet their latency objective come first, then
/// the most urgent ones, then the earliest. A request that is late already loses nothing by waiting longer.
class request_queue {
public:
    /// Maximum queue length of one entry. Beyond it, a caller is served faster by another entry.
    static constexpr std::size_t maximum_size = 256;

    /// Returns false if the queue is full.
    bool add(queued_request request);
    void remove(std::uint64_t number);
    /// Returns the numbers of the queued requests of a service in the order of their placement.
    std::vector<std::uint64_t> order(std::string const& service, base::time_point now) const;
    std::size_t size() const { return requests_.size(); }
    /// Number of queued requests of a service.
    std::size_t count(std::string_view service) const;
    /// Whether a request of the service is queued that would be placed before a new request with the priority.
    bool has_ahead_of(std::string const& service, std::uint32_t priority, base::time_point now) const;

private:
    std::vector<queued_request> requests_;
};

} // namespace cyclamenledge::forwarding
