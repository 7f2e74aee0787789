#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamenledge::trace {

/// One line of a process's structured log.
struct log_line {
    std::string process;
    /// By the clock of the process, in milliseconds since 1970.
    std::int64_t time{0};
    std::string level;
    std::string event;
    /// The fields of the event, in the order of the line.
    std::vector<std::pair<std::string, std::string>> fields;

    std::string_view field(std::string_view name) const;
};

/// Reads one line. Text before the object, such as the prefix of a log collector, is skipped. No value for other lines.
std::optional<log_line> parse_log_line(std::string_view text);

} // namespace cyclamenledge::trace
