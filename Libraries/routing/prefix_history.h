#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace cyclamenledge::routing {

/// Remembers which target last served a prefix, in a table of fixed size where a newer prefix replaces an older one of
/// the same place. Cache events of engines arrive late and with gaps, so they only add to what the entry has routed.
class prefix_history {
public:
    explicit prefix_history(base::duration lifetime)
        : lifetime_(lifetime)
        , places_(place_count) {}

    void on_routed(std::uint64_t prefix, std::uint32_t target, base::time_point now);
    /// Fills a place that is unused or expired; own routing takes precedence.
    void on_stored(std::uint64_t prefix, std::uint32_t target, base::time_point now);
    void on_evicted(std::uint64_t prefix, std::uint32_t target);
    std::optional<std::uint32_t> find(std::uint64_t prefix, base::time_point now) const;

private:
    /// 4,096 places of 24 bytes are 96 KiB and hold several minutes of an entry's 11 requests/s.
    static constexpr std::size_t place_count = 4096;
    struct place {
        std::uint64_t prefix{0};
        base::time_point at{};
        std::uint32_t target{0};
    };

    bool live(place const& item, base::time_point now) const { return item.prefix != 0 && now - item.at < lifetime_; }

    base::duration lifetime_;
    std::vector<place> places_;
};

} // namespace cyclamenledge::routing
