#pragma once

#include <cstdint>
#include <mutex>

namespace cyclamenledge::base {

/// The one order in which a thread may hold the locks of the blackboard's tables, lowest first.
enum class lock_rank : std::uint8_t {
    configuration = 1,
    membership,
    routing,
    limits,
    admission,
    keys,
    streams,
    metrics,
};

/// A mutex that aborts in debug builds when a thread takes it while holding one of equal or higher rank.
class ranked_mutex {
public:
    explicit ranked_mutex(lock_rank rank)
        : rank_(rank) {}

    void lock();
    bool try_lock();
    void unlock();

private:
    std::mutex mutex_;
    [[maybe_unused]] lock_rank rank_;
};

using ranked_lock = std::unique_lock<ranked_mutex>;

} // namespace cyclamenledge::base
