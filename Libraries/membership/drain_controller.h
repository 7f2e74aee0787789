#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenledge::membership {

/// The steps of a planned stop, in order.
enum class drain_state : std::uint8_t { running, unready, refusing, drained };

std::string_view name_of(drain_state state);

struct drain_settings {
    /// How long new connections are still accepted while the balancer learns that the process is unready.
    base::duration drain_accept{base::seconds{5}};
    /// After this time open requests are cut off. None waits for ever.
    std::optional<base::duration> drain_limit{};
};

/// Leads a planned stop so that no request is interrupted.
class drain_controller {
public:
    explicit drain_controller(drain_settings settings = {})
        : settings_(settings) {}

    /// SIGTERM. Repeated calls have no effect.
    void stop(base::time_point now);
    /// A request, stream or queued request begins. False if it has to be refused; it is then not counted.
    bool begin_request(base::time_point now);
    void end_request();

    drain_state state(base::time_point now) const;
    /// What /readyz answers.
    bool ready(base::time_point now) const { return state(now) == drain_state::running; }
    bool accepts_connections(base::time_point now) const { return state(now) < drain_state::refusing; }
    /// When state() may change by time alone.
    std::optional<base::time_point> next_change(base::time_point now) const;

    std::uint64_t open_requests() const { return open_requests_; }

private:
    drain_settings settings_;
    std::optional<base::time_point> stopped_;
    std::uint64_t open_requests_{0};
};

} // namespace cyclamenledge::membership
