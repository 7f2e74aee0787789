#include "routing/prefix_history.h"

namespace cyclamenledge::routing {

void prefix_history::on_routed(std::uint64_t prefix, std::uint32_t target, base::time_point now) {
    if (prefix != 0)
        places_[prefix % place_count] = {prefix, now, target};
}

void prefix_history::on_stored(std::uint64_t prefix, std::uint32_t target, base::time_point now) {
    if (!live(places_[prefix % place_count], now))
        on_routed(prefix, target, now);
}

void prefix_history::on_evicted(std::uint64_t prefix, std::uint32_t target) {
    auto& item = places_[prefix % place_count];
    if (item.prefix == prefix && item.target == target)
        item = {};
}

std::optional<std::uint32_t> prefix_history::find(std::uint64_t prefix, base::time_point now) const {
    auto const& item = places_[prefix % place_count];
    if (prefix == 0 || item.prefix != prefix || !live(item, now))
        return std::nullopt;
    return item.target;
}

} // namespace cyclamenledge::routing
