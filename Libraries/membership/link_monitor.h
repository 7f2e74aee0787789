#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenledge::membership {

inline constexpr base::seconds heartbeat_interval{1};
/// Three heartbeats, so that one lost scheduling slot on either side does not make a link suspect.
inline constexpr base::seconds silence_limit{3};
/// How often the owner calls tick(). Adds at most this much to the time until a silent link is found.
inline constexpr base::milliseconds tick_interval{250};
/// A longer gap between two own ticks means that this process was paused.
inline constexpr base::milliseconds pause_gap{1000};

/// Which direction of a link is silent, seen from this process.
enum class link_fault : std::uint8_t { none, inbound, outbound };

std::string_view name_of(link_fault fault);

/// Mechanisms that only mutation checks in tests switch off.
struct link_switches {
    bool check_echo{true};
    bool detect_own_pause{true};
};

/// What the owner of the link does after a tick.
struct link_step {
    /// Send a heartbeat that carries the time of this tick as its stamp.
    bool send_heartbeat{false};
    /// Open a fresh connection in parallel with the suspect one.
    bool open_connection{false};
    link_fault fault{link_fault::none};
};

/// Judges one link from received frames and from echoes of own stamps.
class link_monitor {
public:
    explicit link_monitor(base::time_point now, link_switches switches = {});

    link_step tick(base::time_point now);
    /// Any received frame, heartbeats included.
    void on_frame(base::time_point now);
    /// A heartbeat or its reply that echoes one of this process's stamps; the first ones may echo none.
    void on_echo(std::optional<base::time_point> own_stamp, base::time_point now);
    /// A fresh connection has completed its handshake and replaces the suspect one.
    void on_connected(base::time_point now);

    link_fault fault(base::time_point now) const;
    std::uint64_t own_pauses() const { return own_pauses_; }

private:
    void restart_deadlines(base::time_point now);

    base::time_point last_tick_;
    base::time_point last_frame_;
    /// The newest own stamp that came back.
    base::time_point last_echo_;
    std::optional<base::time_point> last_heartbeat_;
    std::optional<base::time_point> last_open_;
    std::uint64_t own_pauses_{0};
    link_switches switches_;
};

} // namespace cyclamenledge::membership
