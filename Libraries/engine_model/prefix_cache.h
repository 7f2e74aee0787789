#pragma once

#include "base/time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::engine_model {

enum class cache_change : std::uint8_t { stored, evicted };

/// A change of the prefix cache as the engine reports it.
struct cache_event {
    /// Counts up by one per change, so that a receiver sees gaps.
    std::uint64_t sequence{0};
    cache_change change{cache_change::stored};
    std::uint64_t prefix{0};
};

struct prefix_cache_parameters {
    std::uint32_t capacity_tokens{8192};
    base::duration event_delay{base::milliseconds{400}};
    /// Every n-th event is lost; 0 loses none.
    std::uint32_t lose_every{16};
};

/// Prefixes held by the engine, bounded in tokens, with least-recently-used eviction.
class prefix_cache {
public:
    explicit prefix_cache(prefix_cache_parameters const& parameters)
        : parameters_(parameters) {}

    /// Returns whether the prefix was present, and stores it if it fits.
    bool use(std::uint64_t prefix, std::uint32_t tokens, base::time_point now);
    /// Removes everything without events, as a restart does.
    void clear();
    std::uint32_t held_tokens() const { return held_tokens_; }
    /// The events that have become visible by now.
    std::vector<cache_event> take_events(base::time_point now);

private:
    struct item {
        std::uint64_t prefix;
        std::uint32_t tokens;
    };
    struct pending_event {
        base::time_point visible_at;
        cache_event event;
    };

    void record(cache_change change, std::uint64_t prefix, base::time_point now);

    prefix_cache_parameters parameters_;
    std::list<item> items_;
    std::unordered_map<std::uint64_t, std::list<item>::iterator> index_;
    std::deque<pending_event> pending_;
    std::uint32_t held_tokens_{0};
    std::uint64_t sequence_{0};
};

} // namespace cyclamenledge::engine_model
