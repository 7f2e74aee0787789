#include "http/client.h"

#include "http/status_kind.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace cyclamenledge::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
// Received and not yet parsed, such as an incomplete chunk extension.
constexpr std::size_t maximum_unparsed_bytes = 64UL * 1024;
constexpr int most_interim_answers = 16;

client_error make_client_error(request_progress progress, beast::error_code const& code) {
    return {progress, base::make_error(base::error_kind::io_failed, code.message())};
}

} // namespace

request make_request(beast_http::verb method, std::string_view path, std::string body) {
    request message{method, beast::string_view{path.data(), path.size()}, http_version_1_1};
    message.set(beast_http::field::host, "target");
    if (!body.empty())
        message.set(beast_http::field::content_type, "application/json");
    message.body() = std::move(body);
    message.prepare_payload();
    return message;
}

asio::awaitable<client_result<response>> exchange(asio::ip::tcp::endpoint endpoint, request message,
                                                  client_timeouts timeouts, std::size_t maximum_body_bytes,
                                                  send_permission may_send) {
    beast::tcp_stream stream{co_await asio::this_coro::executor};
    stream.expires_after(timeouts.connect);
    auto [connect_code] = co_await stream.async_connect(endpoint, use_tuple);
    if (connect_code)
        co_return make_client_error(request_progress::not_sent, connect_code);

    if (may_send) {
        if (auto const allowed = may_send(); !allowed)
            co_return client_error{request_progress::not_sent, allowed.error()};
    }
    stream.expires_after(timeouts.answer);
    auto [write_code, written] = co_await beast_http::async_write(stream, message, use_tuple);
    if (write_code)
        co_return make_client_error(request_progress::sent, write_code);
    beast::flat_buffer buffer{maximum_unparsed_bytes};
    for (int interim = 0; interim <= most_interim_answers; ++interim) {
        beast_http::response_parser<beast_http::string_body> parser;
        parser.body_limit(maximum_body_bytes);
        parser.skip(message.method() == beast_http::verb::head);
        auto [head_code, head_bytes] = co_await beast_http::async_read_header(stream, buffer, parser, use_tuple);
        if (head_code)
            co_return make_client_error(request_progress::sent, head_code);
        auto const kind = kind_of_status(parser.get().result_int());
        if (kind == status_kind::no_answer)
            break;
        if (kind == status_kind::interim)
            continue;
        auto [read_code, read_bytes] = co_await beast_http::async_read(stream, buffer, parser, use_tuple);
        if (read_code)
            co_return make_client_error(request_progress::sent, read_code);
        co_return parser.release();
    }
    co_return make_client_error(request_progress::sent, beast_http::error::bad_status);
}

} // namespace cyclamenledge::http
