#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cyclamenledge::http {

/// What shows the end of an answer's body.
enum class answer_framing : std::uint8_t {
    /// No head was read.
    unknown,
    length,
    chunks,
    /// Neither a length nor chunks: the end of the connection is the end of the body (RFC 9112, 6.3). A peer whose
    /// process is killed in the middle of the body ends its connections in the same way.
    connection_end,
};
inline constexpr std::size_t answer_framing_count = static_cast<std::size_t>(answer_framing::connection_end) + 1;

std::string_view name_of(answer_framing framing);

} // namespace cyclamenledge::http
