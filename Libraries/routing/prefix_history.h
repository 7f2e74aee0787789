#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cyclamenledge::routing {

/// Records which target last served each prefix, in a hash table of fixed size where a newer prefix replaces an older
/// one in the same slot. Cache events of engines arrive late and with gaps, so the entry's own routing takes precedence
/// over them.
class prefix_history {
public:
    explicit prefix_history(base::duration lifetime)
        : lifetime_(lifetime)
        , slots_(slot_count) {}

    void on_routed(std::uint64_t prefix, std::uint32_t target, base::time_point now);
    /// Records a cache event if the prefix's slot is unused or expired.
    void on_stored(std::uint64_t prefix, std::uint32_t target, base::time_point now);
    void on_evicted(std::uint64_t prefix, std::uint32_t target);
    std::optional<std::uint32_t> find(std::uint64_t prefix, base::time_point now) const;

private:
    /// 4,096 slots of 24 bytes take 96 KiB and hold several minutes of an entry's load of 11 requests/s.
    static constexpr std::size_t slot_count = 4096;
    struct slot {
        std::uint64_t prefix{0};
        base::time_point recorded_at{};
        std::uint32_t target{0};
    };

    bool is_live(slot const& recorded, base::time_point now) const {
        return recorded.prefix != 0 && now - recorded.recorded_at < lifetime_;
    }

    base::duration lifetime_;
    std::vector<slot> slots_;
};

} // namespace cyclamenledge::routing
