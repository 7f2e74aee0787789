#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::engine_model {

enum class cache_change : std::uint8_t { stored, evicted };

/// A change of the prefix cache, as reported by the engine.
struct cache_event {
    /// Increases by one per change, so that a receiver can detect lost events.
    std::uint64_t sequence{0};
    cache_change change{cache_change::stored};
    std::uint64_t prefix{0};
};

struct prefix_cache_parameters {
    std::uint32_t capacity_tokens{8192};
    base::duration event_delay{base::milliseconds{400}};
    /// Every n-th event is dropped; 0 drops none.
    std::uint32_t drop_every{16};
};

/// Cache of prefixes with a capacity in tokens and least-recently-used eviction.
class prefix_cache {
public:
    explicit prefix_cache(prefix_cache_parameters const& parameters)
        : parameters_(parameters) {}

    /// Returns whether the cache contains the prefix. Otherwise stores the prefix if it fits.
    bool use(std::uint64_t prefix, std::uint32_t tokens, base::time_point now);
    /// Removes all prefixes and pending events without new events, as after a crash.
    void clear();
    std::uint32_t held_tokens() const { return held_tokens_; }
    /// Returns and removes the events that are visible by `now`.
    std::vector<cache_event> take_events(base::time_point now);

private:
    struct cached_prefix {
        std::uint64_t prefix;
        std::uint32_t tokens;
    };
    struct pending_event {
        base::time_point visible_at;
        cache_event event;
    };

    void record(cache_change change, std::uint64_t prefix, base::time_point now);

    prefix_cache_parameters parameters_;
    std::list<cached_prefix> prefixes_;
    std::unordered_map<std::uint64_t, std::list<cached_prefix>::iterator> index_;
    std::deque<pending_event> pending_;
    std::uint32_t held_tokens_{0};
    std::uint64_t sequence_{0};
};

} // namespace cyclamenledge::engine_model
