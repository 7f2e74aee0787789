#pragma once

#include <cstdint>

namespace cyclamenledge::http {

/// What the status of a received message shows it to be.
enum class status_kind : std::uint8_t {
    /// The answer follows.
    interim,
    answer,
    /// No status of HTTP, or one that says nothing as an answer to requests of this process.
    no_answer,
};

status_kind kind_of_status(unsigned status);

} // namespace cyclamenledge::http
