#pragma once

#include "http/message.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace cyclamenledge::standin {

http::response json_answer(unsigned status, boost::json::object const& body);

/// The fields of a JSON object; none if the text is not an object.
boost::json::object parse_object(std::string const& text);
/// The value of a parameter of a request's target, or an empty text.
std::string query_parameter(std::string_view target, std::string_view name);
std::uint64_t query_number(std::string_view target, std::string_view name);
std::uint64_t number_of(boost::json::object const& fields, std::string_view name);
/// Changes the value only if the field is present.
void read_flag(boost::json::object const& fields, std::string_view name, bool& value);

} // namespace cyclamenledge::standin
