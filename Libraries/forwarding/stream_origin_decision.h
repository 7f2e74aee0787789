#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace cyclamenledge::forwarding {

/// How an entry knows the software version that began a stream which a caller takes up again.
enum class origin_source : std::uint8_t {
    /// A process that has passed the first event on, or was told of it, has answered.
    first_event,
    /// No other version can have begun the stream.
    sole_version,
    /// Not known here.
    unknown,
    /// The entry is about to learn it.
    undecided,
};
inline constexpr std::size_t origin_source_count = static_cast<std::size_t>(origin_source::undecided) + 1;

std::string_view name_of(origin_source source);

struct origin_facts {
    /// A process that knows the version has answered.
    bool known{false};
    /// This entry has read of one version only in the time limit of the route.
    bool sole{false};
    /// When the targets that this entry has read were all that the store listed. No value before they were read.
    std::optional<base::time_point> listed_at;
    /// The store may lack targets that run, because their announcements expired while it was unreachable.
    bool announcements_missing{false};
    /// When the caller's request arrived, which is after the first event of its stream.
    base::time_point arrived;
};

/// Callers abandon a stream after a gap of two seconds at the earliest. The rest of them is left for the placement and
/// the next event.
inline constexpr base::milliseconds longest_origin_wait{1300};

/// Whether the only version that an entry has read of may be taken for the one that began a stream does not rest on
/// who has answered: the process that knows may be out of reach, and then it was not even asked.
origin_source decide_origin(origin_facts const& facts, base::time_point now);

} // namespace cyclamenledge::forwarding
