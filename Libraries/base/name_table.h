#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace cyclamenledge::base {

/// Names of the values of an enumeration whose values count up from zero.
template <class Enumeration, std::size_t Count>
class name_table {
public:
    constexpr explicit name_table(std::array<std::string_view, Count> names)
        : names_(names) {}

    constexpr std::string_view name(Enumeration value) const {
        auto const index = static_cast<std::size_t>(value);
        return index < Count ? names_[index] : std::string_view{"invalid"};
    }

    constexpr std::optional<Enumeration> parse(std::string_view text) const {
        for (std::size_t index = 0; index < Count; ++index) {
            if (names_[index] == text)
                return static_cast<Enumeration>(index);
        }
        return std::nullopt;
    }

    constexpr std::array<std::string_view, Count> const& all() const { return names_; }

private:
    std::array<std::string_view, Count> names_;
};

template <std::size_t Count>
constexpr std::array<std::string_view, Count> make_names(std::string_view const (&names)[Count]) {
    std::array<std::string_view, Count> result{};
    for (std::size_t index = 0; index < Count; ++index)
        result[index] = names[index];
    return result;
}

} // namespace cyclamenledge::base
