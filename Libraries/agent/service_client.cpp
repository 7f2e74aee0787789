#include "agent/service_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace cyclamenledge::agent {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds connect_timeout{1000};
constexpr std::size_t maximum_answer_bytes = 1024UL * 1024;

std::string text_of(http::response const& answer, http::beast_http::field name) {
    auto const value = answer[name];
    return {value.data(), value.size()};
}

} // namespace

http::request service_client::to_request(wire::schema::SubmitCallT const& call) {
    http::request message;
    message.version(http::http_version_1_1);
    message.method_string(call.method);
    message.target(call.path);
    for (auto const& header : call.headers)
        message.insert(header->name, header->value);
    message.set(http::beast_http::field::host, "target");
    if (!call.key.empty())
        message.set("Idempotency-Key", call.key);
    message.body().assign(call.body.begin(), call.body.end());
    message.prepare_payload();
    return message;
}

asio::awaitable<http::client_result<service_answer>> service_client::call(wire::schema::SubmitCallT const& request,
                                                                          base::milliseconds patience,
                                                                          http::send_permission may_send) const {
    http::client_timeouts const timeouts{connect_timeout, patience};
    auto answer =
        co_await http::exchange(endpoint_, to_request(request), timeouts, maximum_answer_bytes, std::move(may_send));
    if (!answer)
        co_return answer.error();
    auto& message = answer.value();
    co_return service_answer{message.result_int(), text_of(message, http::beast_http::field::content_type),
                             text_of(message, http::beast_http::field::location), std::move(message.body())};
}

asio::awaitable<bool> service_client::reachable() const {
    boost::beast::tcp_stream stream{co_await asio::this_coro::executor};
    stream.expires_after(connect_timeout);
    auto [code] = co_await stream.async_connect(endpoint_, asio::as_tuple(asio::use_awaitable));
    co_return !code;
}

} // namespace cyclamenledge::agent
