#pragma once

#include <charconv>
#include <cstdint>
#include <string_view>

namespace cyclamenledge::trace {

/// A whole number of a log line's field. Zero for a missing or malformed one.
inline std::uint64_t whole_number(std::string_view text) {
    std::uint64_t value = 0;
    auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    return code == std::errc{} && end == text.data() + text.size() ? value : 0;
}

} // namespace cyclamenledge::trace
