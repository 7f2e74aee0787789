#pragma once

#include "yaml_reader/values.h"
#include "yaml_reader/violation.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenledge::yaml_reader {

/// The allowed values of a number or duration, both ends included.
template <class Object, class Value>
struct range {
    std::string_view key;
    Value Object::*member;
    Value lowest;
    Value highest;
};

template <class Object, class Value>
range(std::string_view, Value Object::*, Value, Value) -> range<Object, Value>;

inline std::string value_text(double value) {
    std::string text = std::to_string(value);
    if (!std::isfinite(value))
        return text;
    text.erase(text.find_last_not_of('0') + 1);
    return text.ends_with('.') ? text.substr(0, text.size() - 1) : text;
}
inline std::string value_text(std::uint64_t value) {
    return std::to_string(value);
}
inline std::string value_text(std::uint32_t value) {
    return std::to_string(value);
}
inline std::string value_text(std::chrono::milliseconds value) {
    return std::to_string(value.count()) + " ms";
}

/// Adds a violation unless the member lies in the range. NaN is outside every range.
template <class Object, class Value>
void check_range(Object const& object, path const& at, range<Object, Value> const& rule, violations& out) {
    auto const& value = object.*(rule.member);
    if (value >= rule.lowest && value <= rule.highest)
        return;
    out.add(path{&at, rule.key}, value_text(value), value_text(rule.lowest) + " to " + value_text(rule.highest));
}

/// A text member that must satisfy a predicate.
template <class Object>
struct text_rule {
    std::string_view key;
    std::string Object::*member{nullptr};
    bool (*accepts)(std::string_view){nullptr};
    std::string_view allowed;
};

template <class Object>
void check_text(Object const& object, path const& at, text_rule<Object> const& rule, violations& out) {
    auto const& value = object.*(rule.member);
    if (!rule.accepts(value))
        out.add(path{&at, rule.key}, quote(value), std::string{rule.allowed});
}

} // namespace cyclamenledge::yaml_reader
