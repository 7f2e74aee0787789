#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding {

/// A request that waits for room at a target.
struct waiting_request {
    std::uint64_t number{0};
    std::string service;
    /// 0 is the most urgent.
    std::uint32_t priority{0};
    base::time_point arrived{};
    /// Being placed by this time, the request is still on time.
    base::time_point on_time_until{};
};

/// The order in which waiting requests are placed: those that can still be on time first, among them the most urgent
/// ones, and then by arrival. A late request loses nothing more by waiting.
class waiting_line {
public:
    /// Requests of one entry that wait at the same time. Beyond it, a caller is better served elsewhere.
    static constexpr std::size_t most_waiting = 256;

    /// False when the line is full.
    bool add(waiting_request request);
    void remove(std::uint64_t number);
    /// Numbers of the waiting requests of a service, first to be placed first.
    std::vector<std::uint64_t> order(std::string const& service, base::time_point now) const;
    std::size_t size() const { return waiting_.size(); }
    /// Whether a request of the service waits that would be placed before a new one of the priority.
    bool has_before(std::string const& service, std::uint32_t priority, base::time_point now) const;

private:
    std::vector<waiting_request> waiting_;
};

} // namespace cyclamenledge::forwarding
