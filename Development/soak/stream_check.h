#pragma once

#include "forwarding/event_splitter.h"

#include <cstdint>
#include <string>
#include <utility>

namespace cyclamenledge::soak {

/// Compares the events that a caller receives of a stream with those that its targets make. Each call returns the
/// broken promise, or an empty text.
class stream_check {
public:
    /// The caller has the stream up to an event, or nothing of it.
    stream_check(std::string request, std::uint64_t length, std::uint64_t last_event)
        : request_(std::move(request))
        , length_(length)
        , expected_(last_event + 1) {}

    std::string on_event(forwarding::stream_event const& event);
    /// The answer has ended as complete.
    std::string on_end() const;
    /// Number of the next event.
    std::uint64_t expected() const { return expected_; }

private:
    std::string request_;
    std::uint64_t length_;
    std::uint64_t expected_;
};

} // namespace cyclamenledge::soak
