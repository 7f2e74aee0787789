#include "soak/load.h"

#include <algorithm>
#include <array>

namespace cyclamenledge::soak {

std::span<load const> loads() {
    using namespace std::chrono_literals;
    static constexpr std::array<load, 4> table{{
        {"slow", 200, 2000ms, 0.5, {0.6, 300ms, 1500ms}, {}, 3500ms, false, false},
        {"interrupted", 200, 2000ms, 0.5, {0.6, 300ms, 1500ms}, {}, 1200ms, true, false},
        {"failing", 30, 1000ms, 1, {}, {.failed = 0.9}, 0ms, false, false},
        {"harmed", 30, 1000ms, 1, {}, {.failed = 0.9}, 3500ms, true, true},
    }};
    return table;
}

load const* find_load(std::string_view name) {
    auto const found = std::ranges::find(loads(), name, &load::name);
    return found == loads().end() ? nullptr : &*found;
}

} // namespace cyclamenledge::soak
