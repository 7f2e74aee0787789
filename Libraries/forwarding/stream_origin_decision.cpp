#include "forwarding/stream_origin_decision.h"

#include "base/name_table.h"
#include "forwarding/store_knowledge.h"

namespace cyclamenledge::forwarding {

namespace {

constexpr base::name_table<origin_source, origin_source_count> names{
    base::make_names({"first_event", "sole_version", "unknown", "undecided"})};

} // namespace

std::string_view name_of(origin_source source) {
    return names.name(source);
}

origin_source decide_origin(origin_facts const& facts, base::time_point now) {
    using enum origin_source;
    if (facts.known)
        return first_event;
    if (!facts.sole || !facts.listed_at || facts.announcements_missing)
        return unknown;
    if (*facts.listed_at >= facts.arrived)
        return sole_version;
    bool const in_time = now < facts.arrived + longest_origin_wait;
    // Neither the store nor a relay has confirmed an older list in the usual time, so waiting for them is of no use.
    return in_time && store_knowledge::is_recent(*facts.listed_at, now) ? undecided : unknown;
}

} // namespace cyclamenledge::forwarding
