#include "forwarding/entry_count.h"

#include <algorithm>

namespace cyclamenledge::forwarding {

void entry_count::observe(std::uint32_t count, base::time_point now) {
    if (count == 0)
        return;
    while (!observations_.empty() && observations_.back().count <= count)
        observations_.pop_back();
    observations_.push_back({count, now});
    while (now - observations_.front().at > lifetime)
        observations_.pop_front();
}

std::optional<std::uint32_t> entry_count::value(base::time_point now) const {
    auto const current =
        std::ranges::find_if(observations_, [now](auto const& seen) { return now - seen.at <= lifetime; });
    if (current == observations_.end())
        return std::nullopt;
    return current->count;
}

} // namespace cyclamenledge::forwarding
