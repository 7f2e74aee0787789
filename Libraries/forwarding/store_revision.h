#pragma once

#include <compare>
#include <cstdint>

namespace cyclamenledge::forwarding {

/// Orders the changes of the metadata store. A store that comes back from an earlier copy begins another era and gives
/// revisions out again, so a revision is only comparable within its era.
struct store_revision {
    std::uint64_t era{0};
    std::uint64_t number{0};

    auto operator<=>(store_revision const&) const = default; // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads it
};

} // namespace cyclamenledge::forwarding
