#pragma once

#include <algorithm>
#include <cstdint>
#include <utility>

namespace cyclamenledge::forwarding {

/// How urgent a request is. 0 is the most urgent.
struct urgency {
    /// Priority of the organisation, or of the route if the organisation has none. It goes first.
    std::uint32_t organisation{0};
    /// Priority of the route. It orders the requests of organisations with the same priority: most organisations have
    /// one, so that it alone would make all their requests equal.
    std::uint32_t route{0};

    /// Urgency of a request whose organisation has no priority.
    static constexpr urgency of_route(std::uint32_t priority) { return {priority, priority}; }
    /// Whether the request can wait in favour of requests of more urgent routes.
    constexpr bool deferrable() const { return route > 0; }
    /// Priority for an engine, from 0 to 9.
    constexpr std::uint32_t engine_level() const {
        constexpr std::uint32_t lowest_level = 9;
        constexpr std::uint32_t route_levels = 3;
        return std::min(lowest_level,
                        route_levels * std::min(organisation, lowest_level) + std::min(route, route_levels - 1));
    }
    /// Orders requests, the most urgent first.
    constexpr std::pair<std::uint32_t, std::uint32_t> rank() const { return {organisation, route}; }
};

} // namespace cyclamenledge::forwarding
