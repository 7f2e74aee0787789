#include "yaml_reader/scalar.h"

#include "yaml_reader/values.h"

#include <limits>

namespace cyclamenledge::yaml_reader {

namespace {

bool is_plain_scalar(node const& from) {
    return from.kind == node_kind::scalar && from.plain;
}

template <class Parsed, class Value>
bool assign(std::optional<Parsed> const& parsed, Value& value) {
    if (parsed)
        value = Value{*parsed};
    return parsed.has_value();
}

} // namespace

bool read_scalar(node const& from, std::string& value) {
    if (from.kind != node_kind::scalar)
        return false;
    value = from.text;
    return true;
}

bool read_scalar(node const& from, std::uint64_t& value) {
    return is_plain_scalar(from) && assign(parse_whole_number(from.text), value);
}

bool read_scalar(node const& from, std::uint32_t& value) {
    std::uint64_t wide = 0;
    if (!read_scalar(from, wide) || wide > std::numeric_limits<std::uint32_t>::max())
        return false;
    value = static_cast<std::uint32_t>(wide);
    return true;
}

bool read_scalar(node const& from, double& value) {
    return is_plain_scalar(from) && assign(parse_number(from.text), value);
}

bool read_scalar(node const& from, base::milliseconds& value) {
    return is_plain_scalar(from) && assign(parse_duration(from.text), value);
}

bool read_fractional_duration(node const& from, base::milliseconds& value) {
    return is_plain_scalar(from) && assign(parse_fractional_duration(from.text), value);
}

bool read_scalar(node const& from, base::seconds& value) {
    base::milliseconds fine{};
    if (!read_scalar(from, fine) || fine.count() % 1000 != 0)
        return false;
    value = std::chrono::duration_cast<base::seconds>(fine);
    return true;
}

bool read_scalar(node const& from, base::wall_time& value) {
    return from.kind == node_kind::scalar && assign(parse_time(from.text), value);
}

std::string scalar_form(std::string const&) {
    return "text";
}
std::string scalar_form(std::uint32_t) {
    return "a whole number from 0 to 4294967295 without quotes";
}
std::string scalar_form(std::uint64_t) {
    return "a whole number from 0 to 18446744073709551615 without quotes";
}
std::string scalar_form(double) {
    return "a number of at least 0 in decimal digits without quotes";
}
std::string scalar_form(base::milliseconds) {
    return "a duration of at most 8784 h such as 390 ms, 5 s, 10 min or 24 h";
}
std::string scalar_form(base::seconds) {
    return "a duration of whole seconds and at most 8784 h such as 5 s, 10 min or 24 h";
}
std::string scalar_form(base::wall_time) {
    return "a time in UTC such as 2026-12-01T00:00:00Z";
}

} // namespace cyclamenledge::yaml_reader
