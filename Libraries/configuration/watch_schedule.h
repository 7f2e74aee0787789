#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace cyclamenledge::configuration {

/// Spreads the first reads of a mass restart: 2,030 processes ÷ 10 s = 203 reads/s.
inline constexpr base::seconds start_jitter{10};
/// Mean time between the safety reads of processes that aren't watchers.
inline constexpr base::seconds safety_interval{60};
/// A long poll without an answer for this time has been lost.
inline constexpr base::seconds long_poll_limit{70};
/// An ordinary read without an answer for this time has been lost.
inline constexpr base::seconds read_limit{5};
inline constexpr base::milliseconds first_back_off{500};
inline constexpr base::seconds largest_back_off{30};

enum class read_kind : std::uint8_t { plain, long_poll };

/// What the answer of the configuration service meant to this process.
enum class read_outcome : std::uint8_t { newer, not_newer, failed };

/// Decides when this process reads the configuration service. At most one read is open at a time.
class watch_schedule {
public:
    watch_schedule(std::uint64_t seed, base::time_point now);

    /// The read to start now, if any.
    std::optional<read_kind> poll(base::time_point now);
    /// The end of the open read.
    void on_outcome(read_outcome outcome, base::time_point now);
    /// A peer has supplied the configuration. A start that waits for its jitter then needs no read of its own.
    void on_peer_configuration(base::time_point now);
    void set_watcher(bool watcher, base::time_point now);

    /// When poll() may return a read, or when the open read counts as lost.
    base::time_point next_time() const { return next_; }

private:
    base::duration jittered(base::duration mean);
    base::duration back_off();

    base::random_source random_;
    base::time_point next_;
    std::optional<read_kind> open_;
    base::time_point open_since_{};
    bool started_{false};
    bool watcher_{false};
    std::uint32_t failures_{0};
};

} // namespace cyclamenledge::configuration
