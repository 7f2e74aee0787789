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

bool is_utf8(std::string_view text) {
    if (std::ranges::none_of(text, is_beyond_ascii))
        return true;
    boost::system::error_code code;
    boost::json::parse(quote(text), code);
    return !code;
}

} // namespace cyclamenledge::base
