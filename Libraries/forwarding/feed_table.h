#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cyclamenledge::forwarding {

/// The entries that tell this one of every change in the metadata store, so that it need not watch the store itself.
/// The load pattern is a large deployment: a watch of every process costs the store as many answers as there are
/// processes.
class feed_table {
public:
    /// Feeds speak each 500 ms. Configurations have to be in force within 2.5 s, so that a feed is missed long before.
    static constexpr base::milliseconds longest_silence{1200};
    /// A feed that was cut off from the store silently goes on for a while. Two are rarely cut off together.
    static constexpr std::size_t fewest_feeds = 2;

    /// The feed has told every change up to the revision.
    void hear(std::string const& feed, std::uint64_t as_of, base::time_point now) { heard_[feed] = {as_of, now}; }
    void lose(std::string const& feed) { heard_.erase(feed); }
    /// The revision up to which enough feeds have told everything. No value: the store has to be watched.
    std::optional<std::uint64_t> told_up_to(base::time_point now) const;

private:
    struct word {
        std::uint64_t as_of{0};
        base::time_point heard_at{};
    };
    std::map<std::string, word> heard_;
};

} // namespace cyclamenledge::forwarding
