#include "http/completion_stream.h"

#include <boost/json/parse.hpp>

#include <utility>

namespace cyclamenledge::http {

namespace json = boost::json;

namespace {

constexpr std::string_view data_prefix = "data: ";

std::string text_at(json::value const& document, std::string_view pointer) {
    boost::system::error_code code;
    auto const* found = document.find_pointer({pointer.data(), pointer.size()}, code);
    return found != nullptr && found->is_string() ? std::string(found->as_string()) : std::string{};
}

json::value parse(std::string const& text) {
    boost::system::error_code code;
    auto parsed = json::parse(text, code);
    return code ? json::value{} : parsed;
}

} // namespace

completion_event parse_error_body(std::string const& body) {
    auto const document = parse(body);
    auto kind = text_at(document, "/error/kind");
    if (kind.empty())
        return {completion_part::broken, "an answer that is no error body", body};
    return {completion_part::error, std::move(kind), text_at(document, "/error/message")};
}

boost::asio::awaitable<client_result<unsigned>> completion_stream::open(boost::asio::ip::tcp::endpoint entry,
                                                                        std::string bearer_key, std::string body,
                                                                        client_timeouts timeouts) {
    auto message = make_request(beast_http::verb::post, "/v1/completions", std::move(body));
    message.set(beast_http::field::authorization, "Bearer " + bearer_key);
    return lines_.open(std::move(entry), std::move(message), timeouts);
}

boost::asio::awaitable<completion_event> completion_stream::next(base::milliseconds timeout) {
    while (true) {
        auto const line = co_await lines_.read_line(timeout);
        if (!line)
            co_return completion_event{completion_part::broken, line.error().message, {}};
        auto const& text = line.value();
        if (text.empty())
            co_return completion_event{completion_part::broken, "the answer has no end", {}};
        if (text.front() == '{')
            co_return parse_error_body(text);
        if (!text.starts_with(data_prefix))
            continue;
        auto const data = text.substr(data_prefix.size());
        auto const document = parse(data);
        if (document.is_object() && document.as_object().contains("error"))
            co_return parse_error_body(data);
        auto reason = text_at(document, "/choices/0/finish_reason");
        if (!reason.empty())
            co_return completion_event{completion_part::finish, std::move(reason), {}};
        co_return completion_event{completion_part::token, text_at(document, "/choices/0/text"), {}};
    }
}

} // namespace cyclamenledge::http
