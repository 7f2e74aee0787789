#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenledge::yaml_reader {

/// Longest duration of a document.
inline constexpr base::milliseconds maximum_duration{std::chrono::hours{24 * 366}};

/// A whole number in decimal digits.
std::optional<std::uint64_t> parse_whole_number(std::string_view text);
/// A number in decimal digits with an optional fraction; no sign, exponent, infinity or NaN.
std::optional<double> parse_number(std::string_view text);
/// A whole number with a unit: `390 ms`, `5 s`, `10 min` or `24 h`.
std::optional<base::milliseconds> parse_duration(std::string_view text);
/// A number with an optional fraction and a unit: `390 ms`, `7.5 s`. Parts of a millisecond are dropped.
std::optional<base::milliseconds> parse_fractional_duration(std::string_view text);
/// UTC to the second, such as `2026-12-01T00:00:00Z`.
std::optional<base::wall_time> parse_time(std::string_view text);

/// IP:PORT with a numeric IPv4 address or an IPv6 address in brackets, and a port above zero.
bool is_address(std::string_view text);
/// 1 to 64 lower-case letters, digits, '-', '_' or '.', starting with a letter or digit.
bool is_name(std::string_view text);
/// 1 to 128 bytes.
bool is_label(std::string_view text);
/// SHA-256 in 64 lower-case hexadecimal digits.
bool is_sha256(std::string_view text);

/// A text in quotes for messages, cut after 60 bytes.
std::string quote(std::string_view text);

inline constexpr std::string_view address_form = "IP:PORT with a numeric IP and a port from 1 to 65535";
inline constexpr std::string_view name_form =
    "1 to 64 lower-case letters, digits, '-', '_' or '.', starting with a letter or digit";
inline constexpr std::string_view label_form = "1 to 128 bytes of text";
inline constexpr std::string_view sha256_form = "64 lower-case hexadecimal digits";

} // namespace cyclamenledge::yaml_reader
