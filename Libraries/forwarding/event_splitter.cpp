#include "forwarding/event_splitter.h"

#include <algorithm>
#include <charconv>

namespace cyclamenledge::forwarding {

namespace {

constexpr std::size_t maximum_kept_buffer = 4UL * 1024;

/// No value unless the whole text is a number.
std::optional<std::uint64_t> parse_id(std::string_view text) {
    while (text.starts_with(' '))
        text.remove_prefix(1);
    if (text.ends_with('\r'))
        text.remove_suffix(1);
    std::uint64_t value = 0;
    auto const [last, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc{} || last != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// Of several fields, the last one counts.
std::optional<std::uint64_t> id_of(std::string_view event) {
    constexpr std::string_view field = "id:";
    std::optional<std::uint64_t> id;
    while (!event.empty()) {
        auto const end = event.find('\n');
        auto const line = event.substr(0, end);
        if (line.starts_with(field))
            id = parse_id(line.substr(field.size()));
        if (end == std::string_view::npos)
            break;
        event.remove_prefix(end + 1);
    }
    return id;
}

/// Whether the text has a line other than comments and blank lines.
bool has_field(std::string_view block) {
    while (!block.empty()) {
        if (block.front() != ':' && block.front() != '\n' && block.front() != '\r')
            return true;
        block.remove_prefix(std::min(block.size(), block.find('\n')));
        if (!block.empty())
            block.remove_prefix(1);
    }
    return false;
}

/// Returns the length of the end of a line at the given offset, or zero.
std::size_t line_end_at(std::string_view text, std::size_t offset) {
    if (text.substr(std::min(offset, text.size())).starts_with("\r\n"))
        return 2;
    return offset < text.size() && text[offset] == '\n' ? 1 : 0;
}

/// Returns the length of the blank line that ends an event at the given offset, or zero.
std::size_t blank_line_at(std::string_view text, std::size_t offset) {
    // Ends of lines may be of both kinds, also in one stream.
    auto const first = line_end_at(text, offset);
    auto const second = first == 0 ? 0 : line_end_at(text, offset + first);
    return second == 0 ? 0 : first + second;
}

} // namespace

void event_splitter::append(std::string_view bytes) {
    if (consumed_ > 0) {
        buffer_.erase(0, consumed_);
        scanned_ -= consumed_;
        block_ -= consumed_;
        consumed_ = 0;
        if (buffer_.empty() && buffer_.capacity() > maximum_kept_buffer)
            buffer_.shrink_to_fit();
    }
    buffer_.append(bytes);
}

std::optional<stream_event> event_splitter::next() {
    std::string_view const text{buffer_};
    for (; scanned_ < text.size(); ++scanned_) {
        auto const blank = blank_line_at(text, scanned_);
        if (blank == 0)
            continue;
        auto const block = text.substr(block_, scanned_ - block_);
        scanned_ += blank;
        block_ = scanned_;
        if (!has_field(block)) {
            --scanned_;
            continue;
        }
        auto const bytes = text.substr(consumed_, scanned_ - consumed_);
        consumed_ = scanned_;
        return stream_event{id_of(bytes), bytes};
    }
    // A blank line may begin in the last three bytes of the buffer and end in the bytes appended next.
    constexpr std::size_t longest_partial_blank_line = 3;
    scanned_ = text.size() - std::min(text.size() - block_, longest_partial_blank_line);
    return std::nullopt;
}

bool event_splitter::inside_event() const {
    return has_field(std::string_view{buffer_}.substr(block_));
}

} // namespace cyclamenledge::forwarding
