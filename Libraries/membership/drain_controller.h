#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenledge::membership {

/// The phases of a graceful shutdown, in order.
enum class drain_state : std::uint8_t { running, unready, refusing, drained };

std::string_view name_of(drain_state state);

struct drain_settings {
    /// How long new connections are still accepted after /readyz fails, so that the load balancer can stop using this
    /// process first.
    base::duration drain_accept{base::seconds{5}};
    /// Open requests are aborted after this time. Without a value the drain waits until all of them have ended.
    std::optional<base::duration> drain_limit{};
};

/// State machine of a graceful shutdown: turns unready, then refuses new requests, and is drained once the accepted
/// requests have ended.
class drain_controller {
public:
    explicit drain_controller(drain_settings settings = {})
        : settings_(settings) {}

    /// Starts the drain, for example on SIGTERM. Repeated calls have no effect.
    void start_drain(base::time_point now);
    /// Counts a new request, stream or queued request. Returns false, without counting it, if it must be refused.
    bool begin_request(base::time_point now);
    /// The same for a request that ends soon. It is refused only once the drain has finished.
    bool begin_short_request(base::time_point now);
    void end_request();

    drain_state state(base::time_point now) const;
    /// The result of /readyz.
    bool ready(base::time_point now) const { return state(now) == drain_state::running; }
    bool accepts_connections(base::time_point now) const { return state(now) < drain_state::refusing; }
    /// When open requests are aborted. No value without a drain or a limit.
    std::optional<base::time_point> aborts_at() const;
    /// The next time at which state() may change without another call.
    std::optional<base::time_point> next_change(base::time_point now) const;

    std::uint64_t open_requests() const { return open_requests_; }

private:
    drain_settings settings_;
    std::optional<base::time_point> drain_started_;
    std::uint64_t open_requests_{0};
};

} // namespace cyclamenledge::membership
