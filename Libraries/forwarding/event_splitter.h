#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenledge::forwarding {

/// A server-sent event. The bytes include the blank line that ends it.
struct stream_event {
    std::optional<std::uint64_t> id;
    std::string_view bytes;
};

/// Splits a text/event-stream body into complete events. Bytes of an incomplete event are buffered until its end
/// arrives. Comments and blank lines alone are no event and belong to the event that follows them.
class event_splitter {
public:
    /// Maximum size of an event in bytes. A larger event marks the stream as malformed.
    static constexpr std::size_t longest_event = 256UL * 1024;

    void append(std::string_view bytes);
    /// Returns the next complete event. Its bytes are valid until the next call of append.
    std::optional<stream_event> next();
    /// Whether the buffer ends with an incomplete event.
    bool inside_event() const;
    bool malformed() const { return buffer_.size() - consumed_ > longest_event; }
    /// Bytes that belong to no complete event. Valid until the next call of append.
    std::string_view unfinished() const { return std::string_view{buffer_}.substr(consumed_); }
    /// Memory held in bytes.
    std::size_t memory() const { return buffer_.capacity(); }

private:
    std::string buffer_;
    std::size_t consumed_{0};
    /// Where the text after the last blank line begins.
    std::size_t block_{0};
    std::size_t scanned_{0};
};

} // namespace cyclamenledge::forwarding
