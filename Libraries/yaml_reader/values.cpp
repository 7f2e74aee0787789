#include "yaml_reader/values.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cmath>
#include <string>

namespace cyclamenledge::yaml_reader {

namespace {

constexpr std::string_view digits = "0123456789";
constexpr std::string_view fraction_digits = "0123456789.";
constexpr std::size_t longest_name = 64;
constexpr std::size_t longest_label = 128;
constexpr std::size_t sha256_digits = 64;

struct duration_unit {
    std::string_view name;
    std::uint64_t milliseconds;
};
constexpr std::array<duration_unit, 4> units{{{"ms", 1}, {"s", 1000}, {"min", 60'000}, {"h", 3'600'000}}};

auto find_unit(std::string_view text) {
    if (text.starts_with(' '))
        text.remove_prefix(1);
    return std::ranges::find(units, text, &duration_unit::name);
}

bool only(std::string_view text, std::string_view letters) {
    return !text.empty() && text.find_first_not_of(letters) == std::string_view::npos;
}

bool is_ip(std::string_view text) {
    std::array<unsigned char, sizeof(in6_addr)> binary{};
    bool const bracketed = text.size() > 2 && text.front() == '[' && text.back() == ']';
    std::string const plain{bracketed ? text.substr(1, text.size() - 2) : text};
    return plain.find('\0') == std::string::npos &&
           inet_pton(bracketed ? AF_INET6 : AF_INET, plain.c_str(), binary.data()) == 1;
}

} // namespace

std::optional<std::uint64_t> parse_whole_number(std::string_view text) {
    std::uint64_t value = 0;
    if (!only(text, digits))
        return std::nullopt;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} ? std::optional{value} : std::nullopt;
}

std::optional<double> parse_number(std::string_view text) {
    double value = 0;
    if (!only(text, fraction_digits) || text.front() == '.' || text.back() == '.')
        return std::nullopt;
    auto const parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    bool const whole = parsed.ec == std::errc{} && parsed.ptr == text.data() + text.size();
    return whole && std::isfinite(value) ? std::optional{value} : std::nullopt;
}

std::optional<base::milliseconds> parse_duration(std::string_view text) {
    auto const number_end = std::min(text.size(), text.find_first_not_of(digits));
    auto const value = parse_whole_number(text.substr(0, number_end));
    auto const unit = find_unit(text.substr(number_end));
    if (!value || unit == units.end())
        return std::nullopt;
    if (*value > static_cast<std::uint64_t>(maximum_duration.count()) / unit->milliseconds)
        return std::nullopt;
    return base::milliseconds{static_cast<std::int64_t>(*value * unit->milliseconds)};
}

std::optional<base::milliseconds> parse_fractional_duration(std::string_view text) {
    auto const number_end = std::min(text.size(), text.find_first_not_of(fraction_digits));
    auto const value = parse_number(text.substr(0, number_end));
    auto const unit = find_unit(text.substr(number_end));
    if (!value || unit == units.end())
        return std::nullopt;
    auto const length = *value * static_cast<double>(unit->milliseconds);
    if (length > static_cast<double>(maximum_duration.count()))
        return std::nullopt;
    return base::milliseconds{static_cast<std::int64_t>(length)};
}

std::optional<base::wall_time> parse_time(std::string_view text) {
    constexpr std::string_view form = "dddd-dd-ddTdd:dd:ddZ";
    bool const shaped = std::ranges::equal(text, form, [](char letter, char wanted) {
        return wanted == 'd' ? digits.find(letter) != std::string_view::npos : letter == wanted;
    });
    if (!shaped)
        return std::nullopt;
    auto const part = [&](std::size_t start, std::size_t count) {
        return static_cast<int>(*parse_whole_number(text.substr(start, count)));
    };
    std::chrono::year_month_day const day{std::chrono::year{part(0, 4)},
                                          std::chrono::month{static_cast<unsigned>(part(5, 2))},
                                          std::chrono::day{static_cast<unsigned>(part(8, 2))}};
    if (!day.ok() || part(11, 2) > 23 || part(14, 2) > 59 || part(17, 2) > 59)
        return std::nullopt;
    return base::wall_time{std::chrono::sys_days{day} + std::chrono::hours{part(11, 2)} +
                           std::chrono::minutes{part(14, 2)} + base::seconds{part(17, 2)}};
}

bool is_address(std::string_view text) {
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    auto const port = parse_whole_number(text.substr(colon + 1));
    return port && *port >= 1 && *port <= 65535 && is_ip(text.substr(0, colon));
}

bool is_name(std::string_view text) {
    return text.size() <= longest_name && only(text, "abcdefghijklmnopqrstuvwxyz0123456789-_.") &&
           only(text.substr(0, 1), "abcdefghijklmnopqrstuvwxyz0123456789");
}

bool is_label(std::string_view text) {
    return !text.empty() && text.size() <= longest_label;
}

bool is_sha256(std::string_view text) {
    return text.size() == sha256_digits && only(text, "0123456789abcdef");
}

std::string quote(std::string_view text) {
    constexpr std::size_t shown_bytes = 60;
    return "'" + std::string{text.substr(0, shown_bytes)} + (text.size() > shown_bytes ? "...'" : "'");
}

} // namespace cyclamenledge::yaml_reader
