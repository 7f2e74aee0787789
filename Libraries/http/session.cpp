#include "http/session.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <cerrno>
#include <sys/socket.h>
#include <tuple>
#include <utility>

namespace cyclamenledge::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);

base::error read_error(beast::error_code const& code) {
    using base::error_kind;
    if (code == beast_http::error::end_of_stream || code == asio::error::eof || code == asio::error::connection_reset)
        return base::make_error(error_kind::link_lost, "the client closed the connection");
    if (code == beast_http::error::header_limit)
        return base::make_error(error_kind::payload_too_large, "the header is over the size limit");
    if (code == beast_http::error::body_limit)
        return base::make_error(error_kind::payload_too_large, "the body is over the size limit");
    if (code == beast::error::timeout)
        return base::make_error(error_kind::header_timeout, "the request did not arrive in time");
    if (code == beast_http::error::partial_message)
        return base::make_error(error_kind::bad_request, "the request is truncated");
    return base::make_error(error_kind::bad_request, "malformed HTTP request: " + code.message());
}

base::error write_error(beast::error_code const& code) {
    return base::make_error(base::error_kind::link_lost, code.message());
}

} // namespace

session::session(asio::ip::tcp::socket socket, server_limits const& limits)
    : stream_(std::move(socket))
    , read_timer_(stream_.get_executor())
    , limits_(limits) {
    beast::error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
}

awaitable_result<request> session::read_request() {
    beast_http::request_parser<beast_http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
    parser.body_limit(limits_.body_bytes);

    progress_ = buffer_.size() == 0 ? progress::nothing : progress::part_of_request;
    bool const first = requests_ == 0;
    if (first)
        limit_read(limits_.header_timeout);
    if (progress_ == progress::nothing) {
        if (ends_idle())
            co_return base::make_error(base::error_kind::link_lost, "the server ends");
        // Closing an idle kept connection is no error of the client.
        if (!first)
            stream_.expires_after(limits_.idle_timeout);
        auto [code, count] = co_await stream_.async_read_some(buffer_.prepare(1), use_tuple);
        // A request that had begun to arrive when the wait was cancelled is served.
        beast::error_code ignored;
        if (code == asio::error::operation_aborted && ending_ && stream_.socket().available(ignored) > 0)
            std::tie(code, count) = co_await stream_.async_read_some(buffer_.prepare(1), use_tuple);
        if (code && end_read_limit())
            co_return read_error(beast::error::timeout);
        if (code)
            co_return base::make_error(base::error_kind::link_lost, "the connection was idle");
        buffer_.commit(count);
    }
    progress_ = progress::part_of_request;
    stream_.expires_never();
    if (!first)
        limit_read(limits_.header_timeout);
    auto [header_code, header_count] = co_await beast_http::async_read_header(stream_, buffer_, parser, use_tuple);
    if (end_read_limit())
        co_return read_error(beast::error::timeout);
    if (header_code)
        co_return read_error(header_code);
    limit_read(limits_.body_timeout);
    auto [body_code, body_count] = co_await beast_http::async_read(stream_, buffer_, parser, use_tuple);
    if (end_read_limit())
        co_return read_error(beast::error::timeout);
    if (body_code)
        co_return read_error(body_code);
    ++requests_;
    progress_ = progress::whole_request;
    keep_alive_ = parser.get().keep_alive() && !ending_;
    co_return parser.release();
}

void session::end_when_idle(bool waive_first_request) {
    ending_ = true;
    waive_first_request_ = waive_first_request_ || waive_first_request;
    keep_alive_ = false;
    if (progress_ == progress::nothing && ends_idle())
        stream_.cancel();
}

// The time limit of tcp_stream closes the socket, after which a late client could not be answered.
void session::limit_read(base::milliseconds longest) {
    read_expired_ = false;
    read_timer_.expires_after(longest);
    read_timer_.async_wait([self = session_pointer{this}, number = ++limited_read_](beast::error_code const& code) {
        if (code || number != self->limited_read_)
            return;
        self->read_expired_ = true;
        self->stream_.cancel();
    });
}

bool session::end_read_limit() {
    ++limited_read_;
    read_timer_.cancel();
    return read_expired_;
}

awaitable_result<void> session::send(response answer) {
    answer.keep_alive(keep_alive_);
    answer.prepare_payload();
    stream_.expires_after(limits_.write_timeout);
    auto [code, count] = co_await beast_http::async_write(stream_, answer, use_tuple);
    stream_.expires_never();
    if (code)
        co_return write_error(code);
    co_return base::success();
}

awaitable_result<void> session::start_stream(std::string_view content_type) {
    beast_http::response_header<> fields;
    fields.result(beast_http::status::ok);
    fields.set(beast_http::field::content_type, beast::string_view{content_type.data(), content_type.size()});
    fields.set(beast_http::field::cache_control, "no-cache");
    co_return co_await start_stream(std::move(fields));
}

awaitable_result<void> session::start_stream(beast_http::response_header<> fields, answer_framing framing) {
    framing_ = framing;
    if (framing_ == answer_framing::connection_end)
        end_after_answer();
    beast_http::response<beast_http::empty_body> head{std::move(fields)};
    head.version(http_version_1_1);
    head.keep_alive(keep_alive_);
    head.chunked(framing_ == answer_framing::chunks);
    beast_http::response_serializer<beast_http::empty_body> serializer{head};
    stream_.expires_after(limits_.write_timeout);
    auto [code, count] = co_await beast_http::async_write_header(stream_, serializer, use_tuple);
    stream_.expires_never();
    if (code)
        co_return write_error(code);
    co_return base::success();
}

awaitable_result<void> session::send_chunk(std::string text) {
    stream_.expires_after(limits_.write_timeout);
    beast::error_code code;
    std::size_t count = 0;
    if (framing_ == answer_framing::chunks)
        std::tie(code, count) =
            co_await asio::async_write(stream_, beast_http::make_chunk(asio::buffer(text)), use_tuple);
    else
        std::tie(code, count) = co_await asio::async_write(stream_, asio::buffer(text), use_tuple);
    stream_.expires_never();
    if (code)
        co_return write_error(code);
    co_return base::success();
}

awaitable_result<void> session::finish_stream() {
    if (framing_ != answer_framing::chunks)
        co_return base::success();
    stream_.expires_after(limits_.write_timeout);
    auto [code, count] = co_await asio::async_write(stream_, beast_http::make_chunk_last(), use_tuple);
    stream_.expires_never();
    if (code)
        co_return write_error(code);
    co_return base::success();
}

void session::watch_for_close(std::function<void()> on_close) {
    on_close_ = std::move(on_close);
    wait_for_close();
}

void session::wait_for_close() {
    stream_.socket().async_wait(
        asio::ip::tcp::socket::wait_read, [self = session_pointer{this}](beast::error_code const& code) {
            if (code || !self->on_close_)
                return;
            // The wake-up may belong to data that has been read already, so only the socket can tell that it is closed.
            char byte = 0;
            auto const received = ::recv(self->stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
            if (received < 0 && (errno == EAGAIN || errno == EINTR))
                self->wait_for_close();
            else if (received <= 0)
                std::exchange(self->on_close_, nullptr)();
            // Data belongs to a pipelined request; that caller is still there.
        });
}

asio::awaitable<void> session::finish() {
    constexpr std::size_t read_bytes = 4096;
    if (!stream_.socket().is_open())
        co_return;
    beast::error_code code;
    stream_.socket().cancel(code);
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, code);
    stream_.expires_after(limits_.linger_timeout);
    std::size_t dropped = 0;
    while (!code && dropped < limits_.linger_bytes) {
        buffer_.clear();
        auto [read_code, count] = co_await stream_.async_read_some(buffer_.prepare(read_bytes), use_tuple);
        code = read_code;
        dropped += count;
    }
    stream_.close();
}

void session::reset() {
    beast::error_code ignored;
    stream_.socket().set_option(asio::socket_base::linger{true, 0}, ignored);
    stream_.socket().cancel(ignored);
    stream_.close();
}

void session::close() {
    beast::error_code ignored;
    stream_.socket().cancel(ignored);
    stream_.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    stream_.close();
}

} // namespace cyclamenledge::http
