#include "forwarding/expected_room.h"

#include "forwarding/engine_room.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenledge::forwarding {

namespace {

// Longest time that is stated. Requests that wait so long have left before.
constexpr base::milliseconds longest_time{600000};

/// Time until an amount has been released. The amounts are those of the single releases.
template <class Amount>
std::optional<base::milliseconds> time_to_release(std::vector<memory_release> const& releases, double wanted,
                                                  Amount const& amount_of) {
    if (wanted <= 0)
        return base::milliseconds{0};
    double released = 0;
    for (auto const& release : releases) {
        released += amount_of(release);
        if (released >= wanted)
            return release.after;
    }
    if (released <= 0)
        return std::nullopt;
    auto const rounds = wanted / released;
    return base::milliseconds{std::llround(static_cast<double>(releases.back().after.count()) * rounds)};
}

} // namespace

prompt_need& prompt_need::operator+=(prompt_need const& other) {
    memory_tokens += other.memory_tokens;
    unread_tokens += other.unread_tokens;
    requests += other.requests;
    return *this;
}

expected_room::expected_room(engine_report const& report, std::vector<memory_release> releases, std::uint32_t slots)
    : report_(report)
    , releases_(std::move(releases))
    , slots_(slots) {
    std::ranges::sort(releases_, {}, &memory_release::after);
}

base::milliseconds expected_room::read_delay(prompt_need const& ahead, prompt_limits const& limits) const {
    engine_reservations before;
    before.unread_tokens = ahead.unread_tokens;
    return std::max(base::milliseconds{0}, engine_room{report_, before, {}}.read_wait() - limits.read_wait);
}

std::optional<base::milliseconds> expected_room::time_until(prompt_need const& need, prompt_need const& ahead,
                                                            prompt_limits const& limits) const {
    auto const usable = limits.memory_share * report_.total_tokens;
    if (need.memory_tokens > usable)
        return std::nullopt;
    auto const memory = report_.committed_tokens + ahead.memory_tokens + need.memory_tokens - usable;
    auto const requests = static_cast<double>(report_.running) + report_.queued + ahead.requests + need.requests;
    auto const memory_free = time_to_release(releases_, memory, [](memory_release const& held) { return held.tokens; });
    auto const slots_free = time_to_release(releases_, requests - slots_, [](memory_release const&) { return 1.0; });
    if (!memory_free || !slots_free)
        return std::nullopt;
    return std::min(longest_time, std::max({*memory_free, *slots_free, read_delay(ahead, limits)}));
}

} // namespace cyclamenledge::forwarding
