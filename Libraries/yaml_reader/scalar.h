#pragma once

#include "base/time.h"
#include "yaml_reader/node.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenledge::yaml_reader {

/// Reads a scalar and returns false when it does not have the form of the type. Numbers are written without quotes.
bool read_scalar(node const& from, std::string& value);
bool read_scalar(node const& from, std::uint32_t& value);
bool read_scalar(node const& from, std::uint64_t& value);
bool read_scalar(node const& from, double& value);
bool read_scalar(node const& from, base::milliseconds& value);
bool read_scalar(node const& from, base::seconds& value);
bool read_scalar(node const& from, base::wall_time& value);

/// Reads a duration that may have a fraction. Parts of a millisecond are dropped.
bool read_fractional_duration(node const& from, base::milliseconds& value);

template <class Value>
bool read_scalar(node const& from, std::optional<Value>& value) {
    return read_scalar(from, value.emplace());
}

/// What read_scalar accepts, for error messages.
std::string scalar_form(std::string const&);
std::string scalar_form(std::uint32_t);
std::string scalar_form(std::uint64_t);
std::string scalar_form(double);
std::string scalar_form(base::milliseconds);
std::string scalar_form(base::seconds);
std::string scalar_form(base::wall_time);

template <class Value>
std::string scalar_form(std::optional<Value> const&) {
    return scalar_form(Value{});
}

} // namespace cyclamenledge::yaml_reader
