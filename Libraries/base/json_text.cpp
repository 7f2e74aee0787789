#include "base/json_text.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <algorithm>

namespace cyclamenledge::base {

namespace {

std::string quote(std::string_view text) {
    return boost::json::serialize(boost::json::string_view{text.data(), text.size()});
}

bool is_beyond_ascii(char letter) {
    constexpr unsigned char highest_ascii = 0x7f;
    return static_cast<unsigned char>(letter) > highest_ascii;
}

} // namespace

std::string escape_json(std::string_view text) {
    auto const quoted = quote(text);
    return quoted.substr(1, quoted.size() - 2);
}

std::string text_of_bytes(std::string_view bytes) {
    if (is_utf8(bytes))
        return std::string{bytes};
    std::string text;
    for (char const letter : bytes) {
        if (!is_beyond_ascii(letter)) {
            text += letter;
            continue;
        }
        // Characters up to U+00FF have two bytes in UTF-8, the second one with six bits.
        constexpr unsigned first_byte = 0xc0;
        constexpr unsigned second_byte = 0x80;
        constexpr unsigned low_bits = 6;
        constexpr unsigned low_mask = 0x3f;
        auto const number = static_cast<unsigned char>(letter);
        text += static_cast<char>(first_byte | (number >> low_bits));
        text += static_cast<char>(second_byte | (number & low_mask));
    }
    return text;
}

bool is_utf8(std::string_view text) {
    if (std::ranges::none_of(text, is_beyond_ascii))
        return true;
    boost::system::error_code code;
    boost::json::parse(quote(text), code);
    return !code;
}

} // namespace cyclamenledge::base
