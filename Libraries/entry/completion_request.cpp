#include "entry/completion_request.h"

#include <boost/json/parse.hpp>

namespace cyclamenledge::entry {

namespace json = boost::json;

namespace {

constexpr std::uint32_t maximum_max_tokens = 1'000'000;

base::error invalid(std::string const& what) {
    return base::make_error(base::error_kind::bad_request, what);
}

base::result<std::string> required_string(json::object const& fields, std::string const& name) {
    auto const* value = fields.if_contains(name);
    if (value == nullptr || !value->is_string() || value->as_string().empty())
        return invalid("\"" + name + "\" must be a string that is not empty");
    return std::string(value->as_string());
}

base::result<std::uint32_t> optional_count(json::object const& fields, std::string const& name) {
    auto const* value = fields.if_contains(name);
    if (value == nullptr || value->is_null())
        return 0U;
    boost::system::error_code code;
    auto const count = value->to_number<std::uint32_t>(code);
    if (code || count == 0 || count > maximum_max_tokens)
        return invalid("\"" + name + "\" must be an integer from 1 to " + std::to_string(maximum_max_tokens));
    return count;
}

base::result<bool> optional_flag(json::object const& fields, std::string const& name) {
    auto const* value = fields.if_contains(name);
    if (value == nullptr || value->is_null())
        return false;
    if (!value->is_bool())
        return invalid("\"" + name + "\" must be true or false");
    return value->as_bool();
}

} // namespace

base::result<completion_request> parse_completion_request(std::string const& body) {
    boost::system::error_code code;
    auto const parsed = json::parse(body, code);
    if (code)
        return invalid("the body is not JSON: " + code.message());
    if (!parsed.is_object())
        return invalid("the body must be a JSON object");
    auto const& fields = parsed.as_object();
    completion_request request;
    BOOST_OUTCOME_TRY(request.model, required_string(fields, "model"));
    BOOST_OUTCOME_TRY(request.prompt, required_string(fields, "prompt"));
    BOOST_OUTCOME_TRY(request.max_tokens, optional_count(fields, "max_tokens"));
    BOOST_OUTCOME_TRY(request.stream, optional_flag(fields, "stream"));
    return request;
}

} // namespace cyclamenledge::entry
