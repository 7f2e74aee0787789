#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding {

/// A running request whose memory has to leave an engine.
struct link_turn_request {
    /// Connection of the entry that serves the request.
    std::uint64_t entry{0};
    std::string request;
    /// Tokens to copy.
    std::uint32_t tokens{0};
    /// Time in which the request is expected to end by itself.
    base::milliseconds remaining{};
};

/// The order in which the memory of running requests is copied off a leaving engine. Copies share the engine's link,
/// so copies at the same time would all end late. Requests that are expected to end before the engine stops come last;
/// among the others the smallest copy is made first, which saves most requests in the time that is left.
class link_turns {
public:
    /// An entry that does not report the end of its turn loses it.
    static constexpr base::milliseconds longest_turn{900};

    void add(link_turn_request request);
    /// The turn or the wish for one ends.
    void remove(std::string const& request);
    /// The entry's connection was lost.
    void remove_entry(std::uint64_t entry);
    /// The next turn, if the link is free. The time until the engine stops decides which requests come last.
    std::optional<link_turn_request> next(std::optional<base::milliseconds> leaves_in, base::time_point now);
    bool idle() const { return waiting_.empty() && !holder_; }

private:
    std::vector<link_turn_request> waiting_;
    std::optional<link_turn_request> holder_;
    base::time_point held_since_{};
};

} // namespace cyclamenledge::forwarding
