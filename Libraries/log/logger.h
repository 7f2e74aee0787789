#pragma once

#include "base/result.h"
#include "log/event_kind.h"
#include "log/line_budget.h"

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

namespace cyclamenledge::log {

/// One named value of a logged event.
struct field {
    std::string_view name;
    std::string value;

    field(std::string_view name_in, std::string_view value_in)
        : name(name_in)
        , value(value_in) {}

    template <std::integral Number>
    field(std::string_view name_in, Number number)
        : name(name_in)
        , value(std::to_string(number)) {}
};

/// How events are written: lines for people on standard error, or one JSON object a line on standard output.
enum class output_format : std::uint8_t { text, json };

/// Sets up log4cplus to write one line per event.
base::result<void> start_logging(std::string const& level, std::string const& process_name,
                                 output_format format = output_format::text);

/// Writes an event as "E<number> <name> key=value ...", with values that have spaces in quotes, or as a JSON object.
/// JSON lines are dropped, and counted, beyond a rate and while nobody reads the output.
void write(event_kind kind, std::initializer_list<field> fields = {});

} // namespace cyclamenledge::log
