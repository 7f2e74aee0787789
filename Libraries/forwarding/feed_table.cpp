#include "forwarding/feed_table.h"

#include <algorithm>

namespace cyclamenledge::forwarding {

std::optional<std::uint64_t> feed_table::told_up_to(base::time_point now) const {
    std::size_t live = 0;
    std::uint64_t newest = 0;
    for (auto const& [feed, last] : heard_) {
        if (now - last.heard_at > longest_silence)
            continue;
        ++live;
        newest = std::max(newest, last.as_of);
    }
    if (live < fewest_feeds)
        return std::nullopt;
    return newest;
}

} // namespace cyclamenledge::forwarding
