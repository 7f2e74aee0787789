#pragma once

#include "base/result.h"
#include "log/event_kind.h"

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

/// Sets up log4cplus to write one line per event to standard error.
base::result<void> start_logging(std::string const& level, std::string const& process_name);

/// Writes an event as "E<number> <name> key=value ...". Values with spaces are quoted.
void write(event_kind kind, std::initializer_list<field> fields = {});

} // namespace cyclamenledge::log
