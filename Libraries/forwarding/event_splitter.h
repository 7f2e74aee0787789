#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenledge::forwarding {

/// One server-sent event with its bytes, the blank line at its end included.
struct stream_event {
    std::optional<std::uint64_t> id;
    std::string_view bytes;
};

/// Cuts the body of a text/event-stream into whole events. A part of an event is held back until its end arrives.
class event_splitter {
public:
    /// The longest event that is accepted, in bytes. Longer ones mark the stream as malformed.
    static constexpr std::size_t longest_event = 256UL * 1024;

    void append(std::string_view bytes);
    /// The next whole event. Its bytes are valid until the next call of append.
    std::optional<stream_event> next();
    /// Whether the bytes so far end inside an event.
    bool inside_event() const { return consumed_ < buffer_.size(); }
    bool malformed() const { return buffer_.size() - consumed_ > longest_event; }

private:
    std::string buffer_;
    std::size_t consumed_{0};
    std::size_t scanned_{0};
};

} // namespace cyclamenledge::forwarding
