#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace cyclamenledge::configuration {

/// The first read of a process starts at a random time within this interval, which limits the load of a mass restart:
/// 2,030 processes ÷ 10 s = 203 reads/s.
inline constexpr base::seconds start_jitter{10};
/// Mean time between reads of a process that isn't a watcher. They find a newer revision that gossip did not deliver.
inline constexpr base::seconds periodic_read_interval{60};
/// A long poll without a response for this time has failed.
inline constexpr base::seconds long_poll_timeout{70};
/// A plain read without a response for this time has failed.
inline constexpr base::seconds read_timeout{5};
inline constexpr base::milliseconds initial_backoff{500};
inline constexpr base::seconds maximum_backoff{30};

enum class read_kind : std::uint8_t { plain, long_poll };

/// Result of a read: whether the configuration service returned a newer revision than this process has.
enum class read_outcome : std::uint8_t { newer, not_newer, failed };

/// Decides when this process reads the configuration service. At most one read is pending at a time.
class watch_schedule {
public:
    watch_schedule(std::uint64_t seed, base::time_point now);

    /// Returns the read to start now, if any. A pending read that has timed out counts as failed.
    std::optional<read_kind> poll(base::time_point now);
    /// Records the result of the pending read.
    void on_outcome(read_outcome outcome, base::time_point now);
    /// Records that a peer has supplied the configuration. If the first read has not started yet, it is then replaced
    /// by the periodic reads.
    void on_peer_configuration(base::time_point now);
    void set_watcher(bool watcher, base::time_point now);

    /// When poll() may return a read, or when the pending read times out.
    base::time_point next_time() const { return next_time_; }

private:
    base::duration jittered(base::duration mean);
    base::duration next_backoff();

    base::random_source random_;
    base::time_point next_time_;
    std::optional<read_kind> pending_read_;
    base::time_point pending_read_since_{};
    bool startup_done_{false};
    bool watcher_{false};
    std::uint32_t failures_{0};
};

} // namespace cyclamenledge::configuration
