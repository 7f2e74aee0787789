#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenledge::membership {

inline constexpr base::seconds heartbeat_interval{1};
/// A link is suspect after three missed heartbeats, so that one lost scheduling slot on either side does not make it
/// suspect.
inline constexpr base::seconds heartbeat_timeout{3};
/// How often the owner calls tick(). A failed link is detected at most this much later than heartbeat_timeout.
inline constexpr base::milliseconds tick_interval{250};
/// A longer gap between two ticks of this process means that the process was paused.
inline constexpr base::milliseconds pause_threshold{1000};

/// The direction in which a link carries no frames, as seen from this process.
enum class link_fault : std::uint8_t { none, inbound, outbound };

std::string_view name_of(link_fault fault);

/// Mechanisms that mutation checks in tests disable. All are enabled in production.
struct link_switches {
    bool check_echo{true};
    bool detect_own_pause{true};
};

/// Actions for the owner of the link after a tick.
struct link_actions {
    /// Send a heartbeat that carries the time of this tick as its stamp.
    bool send_heartbeat{false};
    /// Open a replacement connection in parallel with the suspect one.
    bool open_connection{false};
    link_fault fault{link_fault::none};
};

/// Failure detector of one link. Received frames show that the inbound direction works; the peer's echo of a heartbeat
/// timestamp shows that the outbound direction works.
class link_monitor {
public:
    explicit link_monitor(base::time_point now, link_switches switches = {});

    link_actions tick(base::time_point now);
    /// Records a received frame of any kind, heartbeats included.
    void on_frame(base::time_point now);
    /// Records a heartbeat or heartbeat reply with the newest timestamp of this process that the peer has received. The
    /// first ones may have none.
    void on_echo(std::optional<base::time_point> own_stamp, base::time_point now);
    /// Restarts the deadlines when a replacement connection has completed its handshake.
    void on_connected(base::time_point now);

    link_fault fault(base::time_point now) const;
    std::uint64_t pause_count() const { return pause_count_; }

private:
    void restart_deadlines(base::time_point now);

    base::time_point last_tick_;
    base::time_point last_frame_;
    /// The newest timestamp of this process that the peer has echoed.
    base::time_point last_echo_;
    std::optional<base::time_point> last_heartbeat_;
    std::optional<base::time_point> last_connection_attempt_;
    std::uint64_t pause_count_{0};
    link_switches switches_;
};

} // namespace cyclamenledge::membership
