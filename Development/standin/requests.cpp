#include "requests.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>

namespace cyclamenledge::standin {

namespace json = boost::json;

http::response json_answer(unsigned status, json::object const& body) {
    return http::make_response(status, "application/json", json::serialize(body) + "\n");
}

json::object parse_object(std::string const& text) {
    boost::system::error_code code;
    auto parsed = json::parse(text, code);
    return !code && parsed.is_object() ? parsed.as_object() : json::object{};
}

std::string query_parameter(std::string_view target, std::string_view name) {
    auto const mark = target.find('?');
    auto rest = mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);
    while (!rest.empty()) {
        auto const item = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), item.size() + 1));
        auto const equals = item.find('=');
        if (equals != std::string_view::npos && item.substr(0, equals) == name)
            return std::string{item.substr(equals + 1)};
    }
    return {};
}

std::uint64_t query_number(std::string_view target, std::string_view name) {
    auto const text = query_parameter(target, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::uint64_t number_of(json::object const& fields, std::string_view name) {
    auto const* value = fields.if_contains(json::string_view{name.data(), name.size()});
    boost::system::error_code code;
    auto const number = value != nullptr ? value->to_number<std::uint64_t>(code) : 0;
    return code ? 0 : number;
}

void read_flag(json::object const& fields, std::string_view name, bool& value) {
    auto const* found = fields.if_contains(json::string_view{name.data(), name.size()});
    if (found != nullptr && found->is_bool())
        value = found->get_bool();
}

} // namespace cyclamenledge::standin
