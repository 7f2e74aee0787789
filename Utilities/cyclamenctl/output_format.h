#pragma once

#include "base/name_table.h"

#include <CLI/App.hpp>

#include <cstdint>
#include <string>

namespace cyclamenledge::control {

/// How a command prints its result.
enum class output_format : std::uint8_t { text, json };

inline constexpr base::name_table<output_format, 2> output_format_names{base::make_names({"text", "json"})};

/// Declares `--format`.
inline void add_format_option(CLI::App& options, output_format& format) {
    options
        .add_option_function<std::string>(
            "--format", [&format](std::string const& name) { format = *output_format_names.parse(name); },
            "text: lines for people; json: one document")
        ->check(
            [](std::string const& name) { return std::string{output_format_names.parse(name) ? "" : "text or json"}; });
}

} // namespace cyclamenledge::control
