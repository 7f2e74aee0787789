#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding {

/// A request for the copy slot of a leaving engine, to copy the memory of a running request to another engine.
struct copy_slot_request {
    /// Connection of the entry that serves the request.
    std::uint64_t entry{0};
    std::string request;
    /// Number of tokens to copy.
    std::uint32_t tokens{0};
    /// Time after which the request is expected to have completed without a copy.
    base::milliseconds remaining{};
};

/// Queue for copying the memory of running requests off a leaving engine, one copy at a time. Copies share the engine's
/// link, so concurrent copies would all end late. Requests that are expected to complete before the engine stops are
/// queued last; among the others the smallest copy is made first, which saves most requests in the time that is left.
class copy_queue {
public:
    /// Maximum time that a request holds the copy slot. The slot is revoked if the entry does not report the end of the
    /// copy.
    static constexpr base::milliseconds maximum_copy_time{900};

    void add(copy_slot_request request);
    /// Removes the request from the queue, or frees the slot if the request holds it.
    void remove(std::string const& request);
    /// Removes all requests of an entry whose connection was closed.
    void remove_entry(std::uint64_t entry);
    /// Gives the slot to the next request and returns that request. No value while the slot is in use or the queue is
    /// empty. The time until the engine stops determines which requests are queued last.
    std::optional<copy_slot_request> next(std::optional<base::milliseconds> leaves_in, base::time_point now);
    bool idle() const { return queue_.empty() && !active_copy_; }

private:
    std::vector<copy_slot_request> queue_;
    std::optional<copy_slot_request> active_copy_;
    base::time_point copy_started_at_{};
};

} // namespace cyclamenledge::forwarding
