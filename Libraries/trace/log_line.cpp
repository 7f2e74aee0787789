#include "trace/log_line.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace cyclamenledge::trace {

namespace json = boost::json;

namespace {

std::string text_of(json::value const& value) {
    return value.is_string() ? std::string{value.get_string()} : json::serialize(value);
}

} // namespace

std::string_view log_line::field(std::string_view name) const {
    auto const found = std::ranges::find(fields, name, &std::pair<std::string, std::string>::first);
    return found == fields.end() ? std::string_view{} : std::string_view{found->second};
}

std::optional<log_line> parse_log_line(std::string_view text) {
    auto const begin = text.find('{');
    if (begin == std::string_view::npos)
        return std::nullopt;
    boost::system::error_code code;
    auto const value = json::parse({text.data() + begin, text.size() - begin}, code);
    auto const* object = value.if_object();
    if (code || object == nullptr || !object->contains("event") || !object->contains("process"))
        return std::nullopt;
    log_line line;
    for (auto const& [key, content] : *object) {
        std::string_view const name{key.data(), key.size()};
        if (name == "time_ms")
            line.time = content.is_number() ? content.to_number<std::int64_t>(code) : 0;
        else if (name == "process")
            line.process = text_of(content);
        else if (name == "level")
            line.level = text_of(content);
        else if (name == "event")
            line.event = text_of(content);
        else if (name != "number")
            line.fields.emplace_back(name, text_of(content));
    }
    return line;
}

} // namespace cyclamenledge::trace
