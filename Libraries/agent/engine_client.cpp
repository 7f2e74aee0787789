#include "agent/engine_client.h"

#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <tuple>
#include <utility>

namespace cyclamenledge::agent {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// An engine answers the head of a generation once the request is queued, so a long wait means that it is stuck.
constexpr http::client_timeouts open_timeouts{base::milliseconds{1000}, base::milliseconds{10000}};
constexpr http::client_timeouts status_timeouts{base::milliseconds{500}, base::milliseconds{1000}};
constexpr std::size_t maximum_status_bytes = 64UL * 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;

base::error invalid(std::string const& what) {
    return base::make_error(base::error_kind::protocol_error, "the engine sent " + what);
}

std::uint64_t number(json::object const& fields, std::string_view name) {
    auto const* value = fields.if_contains(json::string_view{name.data(), name.size()});
    if (value == nullptr)
        return 0;
    boost::system::error_code code;
    auto const result = value->to_number<std::uint64_t>(code);
    return code ? 0 : result;
}

std::string text(json::object const& fields, std::string_view name) {
    auto const* value = fields.if_contains(json::string_view{name.data(), name.size()});
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string{};
}

} // namespace

asio::awaitable<http::client_result<line_stream_pointer>> engine_client::open(http::request message) const {
    auto stream = std::make_unique<http::line_stream>(co_await asio::this_coro::executor);
    auto const status = co_await stream->open(endpoint_, std::move(message), open_timeouts);
    if (!status)
        co_return status.error();
    if (status.value() == status_not_found) {
        co_return http::client_error{
            http::request_progress::not_sent,
            base::make_error(base::error_kind::not_found, "the engine does not hold the generation")};
    }
    if (status.value() != status_ok) {
        co_return http::client_error{
            http::request_progress::not_sent,
            base::make_error(base::error_kind::target_failed,
                             "the engine answered with status " + std::to_string(status.value()))};
    }
    co_return stream;
}

asio::awaitable<http::client_result<line_stream_pointer>> engine_client::start(engine_request request) const {
    json::object body;
    body["id"] = request.generation;
    body["prompt"] = request.prompt;
    body["max_tokens"] = request.max_tokens;
    body["priority"] = request.priority;
    return open(http::make_request(http::beast_http::verb::post, "/v1/generations", json::serialize(body)));
}

asio::awaitable<http::client_result<line_stream_pointer>> engine_client::resume(std::string generation,
                                                                                std::uint32_t from_index) const {
    auto const path = "/v1/generations/" + generation + "?from=" + std::to_string(from_index);
    return open(http::make_request(http::beast_http::verb::get, path, {}));
}

asio::awaitable<void> engine_client::cancel(std::string generation) const {
    auto const message = http::make_request(http::beast_http::verb::delete_, "/v1/generations/" + generation, {});
    std::ignore = co_await http::exchange(endpoint_, message, status_timeouts, maximum_status_bytes);
}

http::awaitable_result<engine_status> engine_client::status() const {
    auto const message = http::make_request(http::beast_http::verb::get, "/v1/load", {});
    auto const answer = co_await http::exchange(endpoint_, message, status_timeouts, maximum_status_bytes);
    if (!answer)
        co_return answer.error().cause;
    boost::system::error_code code;
    auto const parsed = json::parse(answer.value().body(), code);
    if (code || !parsed.is_object())
        co_return invalid("a malformed load report");
    auto const& fields = parsed.as_object();
    engine_status status;
    status.incarnation = number(fields, "incarnation");
    status.uptime = base::milliseconds{static_cast<std::int64_t>(number(fields, "uptime_ms"))};
    status.load.running = static_cast<std::uint32_t>(number(fields, "running"));
    status.load.held_tokens = number(fields, "held_tokens");
    status.preemptions = number(fields, "preemptions");
    co_return status;
}

base::result<engine_line> engine_client::parse_line(std::string const& line) {
    std::array<unsigned char, 2048> buffer{};
    json::monotonic_resource resource{buffer.data(), buffer.size()};
    boost::system::error_code code;
    auto const parsed = json::parse(line, code, &resource);
    if (code || !parsed.is_object())
        return invalid("a malformed line");
    auto const& fields = parsed.as_object();
    engine_line result;
    if (fields.contains("error"))
        return base::make_error(base::error_kind::target_failed, text(fields, "error"));
    result.finish_reason = text(fields, "finish");
    result.end = !result.finish_reason.empty();
    result.index = static_cast<std::uint32_t>(number(fields, result.end ? "count" : "index"));
    result.text = text(fields, "text");
    return result;
}

} // namespace cyclamenledge::agent
