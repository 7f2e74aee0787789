#include "support/process/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>

#include <array>
#include <charconv>
#include <limits>
#include <tuple>

namespace cyclamenledge::tests::process {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr unsigned http_version_1_1 = 11;

std::string_view to_view(beast::string_view text) {
    return {text.data(), text.size()};
}

/// Removes and returns the first event of a text, where there is a whole one.
std::optional<stream_event> take_event(std::string& text) {
    auto const end = text.find("\n\n");
    if (end == std::string::npos)
        return std::nullopt;
    stream_event event;
    for (std::size_t start = 0; start < end;) {
        auto const stop = text.find('\n', start);
        std::string_view const line{text.data() + start, stop - start};
        if (line.starts_with("event: "))
            event.name = line.substr(7);
        if (line.starts_with("data: "))
            event.data += line.substr(6);
        start = stop + 1;
    }
    text.erase(0, end + 2);
    return event;
}

} // namespace

asio::ip::tcp::endpoint to_endpoint(std::string const& address) {
    auto const colon = address.rfind(':');
    std::uint16_t port = 0;
    std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
    return {asio::ip::make_address(address.substr(0, colon)), port};
}

http::request<http::string_body> http_call::message() const {
    http::request<http::string_body> result{http::string_to_verb(method), path, http_version_1_1};
    result.set(http::field::host, "test");
    for (auto const& [name, value] : headers)
        result.set(name, value);
    result.body() = body;
    result.prepare_payload();
    return result;
}

std::string http_answer::header(std::string_view name) const {
    for (auto const& [key, value] : headers) {
        if (beast::iequals(key, beast::string_view{name.data(), name.size()}))
            return value;
    }
    return {};
}

boost::json::value http_answer::json() const {
    boost::system::error_code code;
    auto parsed = boost::json::parse(body, code);
    return code ? boost::json::value{} : parsed;
}

std::string http_answer::error_kind() const {
    boost::system::error_code code;
    auto const parsed = json();
    auto const* kind = parsed.find_pointer("/error/kind", code);
    return kind != nullptr && kind->is_string() ? std::string(kind->as_string()) : std::string{};
}

asio::awaitable<http_answer> async_call(std::string address, http_call call) {
    beast::tcp_stream stream{co_await asio::this_coro::executor};
    http_answer answer;
    auto const message = call.message();
    stream.expires_after(call.timeout);
    auto [connect_code] = co_await stream.async_connect(to_endpoint(address), use_tuple);
    if (connect_code) {
        answer.failure = connect_code.message();
        co_return answer;
    }
    auto [write_code, written] = co_await http::async_write(stream, message, use_tuple);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    // A server may answer before it has read the whole request, so an answer is read after a failed write as well.
    auto [read_code, read] = co_await http::async_read(stream, buffer, parser, use_tuple);
    if (read_code) {
        answer.failure = write_code ? write_code.message() : read_code.message();
        if (parser.is_header_done())
            answer.partial_body = parser.get().body();
        co_return answer;
    }
    answer.status = parser.get().result_int();
    for (auto const& field : parser.get())
        answer.headers.emplace_back(to_view(field.name_string()), to_view(field.value()));
    answer.body = parser.get().body();
    co_return answer;
}

http_answer call(std::string const& address, http_call const& request) {
    asio::io_context context{1};
    http_answer answer;
    asio::co_spawn(context, async_call(address, request),
                   [&](std::exception_ptr const&, http_answer value) { answer = std::move(value); });
    context.run();
    return answer;
}

http_answer get(std::string const& address, std::string const& path) {
    http_call request;
    request.path = path;
    return process::call(address, request);
}

http_answer post(std::string const& address, std::string const& path, std::string const& body, header_list headers) {
    http_call request;
    request.method = "POST";
    request.path = path;
    request.headers = std::move(headers);
    request.body = body;
    return process::call(address, request);
}

asio::awaitable<unsigned> event_stream::open(std::string address, http_call call) {
    timeout_ = call.timeout;
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
    auto const message = call.message();
    stream_.expires_after(timeout_);
    auto [connect_code] = co_await stream_.async_connect(to_endpoint(address), use_tuple);
    if (connect_code) {
        failure_ = connect_code.message();
        co_return 0;
    }
    // A failed write shows in the read that follows.
    std::ignore = co_await http::async_write(stream_, message, use_tuple);
    auto [read_code, read] = co_await http::async_read_header(stream_, buffer_, parser_, use_tuple);
    if (read_code) {
        failure_ = read_code.message();
        co_return 0;
    }
    co_return parser_.get().result_int();
}

asio::awaitable<std::optional<stream_event>> event_stream::next() {
    std::array<char, 8192> chunk{};
    while (true) {
        if (auto event = take_event(pending_))
            co_return event;
        if (parser_.is_done())
            co_return std::nullopt;
        parser_.get().body().data = chunk.data();
        parser_.get().body().size = chunk.size();
        stream_.expires_after(timeout_);
        auto [code, read] = co_await http::async_read_some(stream_, buffer_, parser_, use_tuple);
        pending_.append(chunk.data(), chunk.size() - parser_.get().body().size);
        if (code && code != http::error::need_buffer) {
            failure_ = code.message();
            co_return std::nullopt;
        }
    }
}

namespace {

asio::awaitable<raw_answer> exchange_raw(std::string address, std::string bytes, bool half_close,
                                         std::chrono::milliseconds longest) {
    beast::tcp_stream stream{co_await asio::this_coro::executor};
    raw_answer answer;
    stream.expires_after(longest);
    auto [connect_code] = co_await stream.async_connect(to_endpoint(address), use_tuple);
    if (connect_code)
        co_return answer;
    std::ignore = co_await asio::async_write(stream, asio::buffer(bytes), use_tuple);
    beast::error_code ignored;
    if (half_close)
        stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::array<char, 8192> chunk{};
    while (true) {
        auto [code, read] = co_await stream.async_read_some(asio::buffer(chunk), use_tuple);
        answer.bytes.append(chunk.data(), read);
        if (code) {
            answer.closed = code != beast::error::timeout;
            co_return answer;
        }
    }
}

} // namespace

raw_answer send_raw(std::string const& address, std::string const& bytes, bool half_close,
                    std::chrono::milliseconds longest) {
    asio::io_context context{1};
    raw_answer answer;
    asio::co_spawn(context, exchange_raw(address, bytes, half_close, longest),
                   [&](std::exception_ptr const&, raw_answer value) { answer = std::move(value); });
    context.run();
    return answer;
}

} // namespace cyclamenledge::tests::process
