#include "http/upstream_connection.h"

#include "base/hash.h"
#include "http/status_kind.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>
#include <cstddef>
#include <iterator>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <utility>

namespace cyclamenledge::http {

namespace asio = boost::asio;

namespace {

constexpr auto as_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_part_bytes = 4UL * 1024;
// Bytes of the head with all interim answers before it.
constexpr std::size_t longest_answer_head = 32UL * 1024;
// Each field takes far more memory than its bytes, in every copy of the head. No target comes near to this number.
constexpr std::ptrdiff_t most_answer_fields = 256;
// Bytes that are received and not yet parsed, such as an incomplete head, chunk extension or trailer.
constexpr std::size_t maximum_unparsed_bytes = longest_answer_head;
// Bounds the memory of a connection that is used for hours: 4 KiB. It is closed after this many requests.
constexpr std::size_t most_request_names = 512;
constexpr std::size_t maximum_kept_buffer = 4UL * 1024;
// Unacknowledged bytes mark the connection as dead after this time.
constexpr int unacknowledged_limit_ms = 4000;

base::error_kind kind_of(boost::system::error_code code) {
    if (code == boost::beast::error::timeout)
        return base::error_kind::deadline_exceeded;
    bool const ended_by_peer = code == asio::error::connection_refused || code == asio::error::connection_reset ||
                               code == asio::error::broken_pipe || code == asio::error::eof ||
                               code == beast_http::error::end_of_stream || code == beast_http::error::partial_message;
    return ended_by_peer ? base::error_kind::link_lost : base::error_kind::io_failed;
}

template <class Parser>
answer_framing framing_of(Parser const& parser) {
    if (parser.chunked())
        return answer_framing::chunks;
    return parser.need_eof() ? answer_framing::connection_end : answer_framing::length;
}

base::error make_transfer_error(std::string_view operation, boost::system::error_code code) {
    return base::make_error(kind_of(code), std::string{operation} + ": " + code.message());
}

} // namespace

upstream_connection::upstream_connection(asio::any_io_executor executor, asio::ip::tcp::endpoint endpoint)
    : stream_(std::move(executor))
    , endpoint_(std::move(endpoint))
    , buffer_(maximum_unparsed_bytes) {}

void upstream_connection::add_request_name(std::string_view name) {
    request_names_.push_back(base::hash_text(name));
    if (request_names_.size() >= most_request_names)
        end_after_answer();
}

bool upstream_connection::has_request_name(std::string_view name) const {
    return std::ranges::find(request_names_, base::hash_text(name)) != request_names_.end();
}

awaitable_result<void> upstream_connection::connect(base::milliseconds timeout) {
    stream_.expires_after(timeout);
    auto [code] = co_await stream_.async_connect(endpoint_, as_tuple);
    if (code)
        co_return make_transfer_error("connect", code);
    auto& socket = stream_.socket();
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay{true}, ignored);
    setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_limit_ms,
               sizeof unacknowledged_limit_ms);
    open_ = true;
    co_return base::success();
}

awaitable_result<void> upstream_connection::send(request const& message, base::milliseconds timeout) {
    upstream_pointer const self{this};
    sending_ = true;
    ++requests_;
    parser_.reset();
    framing_ = answer_framing::unknown;
    kept_alive_ = false;
    stream_.expires_after(timeout);
    beast_http::request_serializer<beast_http::string_body> serializer{message};
    auto [code, bytes] = co_await beast_http::async_write(stream_, serializer, as_tuple);
    sending_ = false;
    if (code) {
        failed_ = true;
        co_return make_transfer_error("send", code);
    }
    co_return base::success();
}

base::time_point upstream_connection::limit_reads(base::milliseconds timeout) {
    // A negative time left expires at once, but lets a read have the bytes that are there already.
    auto const deadline = base::clock::now() + std::max(timeout, base::milliseconds{1});
    stream_.expires_at(deadline);
    return deadline;
}

base::error upstream_connection::fail_read(boost::system::error_code code) {
    failed_ = true;
    return make_transfer_error("read", code);
}

void upstream_connection::finish_answer() {
    kept_alive_ = parser_->keep_alive();
    parser_.reset();
    if (buffer_.size() == 0 && buffer_.capacity() > maximum_kept_buffer)
        buffer_.shrink_to_fit();
}

awaitable_result<response_head> upstream_connection::read_head(base::milliseconds timeout, bool body_expected) {
    upstream_pointer const self{this};
    auto const deadline = limit_reads(timeout);
    kept_alive_ = false;
    std::size_t bytes_left = longest_answer_head;
    while (true) {
        parser_.emplace();
        parser_->header_limit(static_cast<std::uint32_t>(bytes_left));
        parser_->body_limit(boost::none);
        parser_->skip(!body_expected);
        auto [code, bytes] = co_await beast_http::async_read_header(stream_, buffer_, *parser_, as_tuple);
        if (code)
            co_return fail_read(code);
        auto const kind = kind_of_status(parser_->get().result_int());
        if (kind == status_kind::no_answer)
            co_return fail_read(beast_http::error::bad_status);
        // Interim answers carry nothing for the caller.
        if (kind == status_kind::answer)
            break;
        if (bytes >= bytes_left)
            co_return fail_read(beast_http::error::header_limit);
        // The stream does not expire between reads that find bytes.
        if (base::clock::now() >= deadline)
            co_return fail_read(boost::beast::error::timeout);
        bytes_left -= bytes;
    }
    auto const& fields = parser_->get();
    if (std::distance(fields.begin(), fields.end()) > most_answer_fields) {
        parser_.reset();
        co_return fail_read(beast_http::error::header_limit);
    }
    auto head = parser_->get().base();
    framing_ = framing_of(*parser_);
    if (parser_->is_done())
        finish_answer();
    co_return head;
}

awaitable_result<std::string> upstream_connection::read_body(base::milliseconds timeout) {
    upstream_pointer const self{this};
    if (!parser_)
        co_return std::string{};
    auto const deadline = limit_reads(timeout);
    std::array<char, read_part_bytes> part{};
    while (true) {
        auto& body = parser_->get().body();
        body.data = part.data();
        body.size = part.size();
        auto [code, bytes] = co_await beast_http::async_read_some(stream_, buffer_, *parser_, as_tuple);
        if (code && code != beast_http::error::need_buffer)
            co_return fail_read(code);
        auto const received = part.size() - body.size;
        if (parser_->is_done())
            finish_answer();
        if (received > 0 || !parser_)
            co_return std::string(part.data(), received);
        if (base::clock::now() >= deadline)
            co_return fail_read(boost::beast::error::timeout);
    }
}

awaitable_result<std::string> upstream_connection::read_within(body_bounds& bounds) {
    auto const left = std::chrono::duration_cast<base::milliseconds>(bounds.deadline - base::clock::now());
    BOOST_OUTCOME_CO_TRY(auto part, co_await read_body(left));
    // The stream does not expire between reads that find bytes.
    if (!part.empty() && left.count() <= 0)
        co_return fail_read(boost::beast::error::timeout);
    bounds.received_bytes += part.size();
    if (bounds.received_bytes > bounds.maximum_bytes) {
        failed_ = true;
        co_return base::make_error(base::error_kind::payload_too_large,
                                   "an answer of more than " + std::to_string(bounds.maximum_bytes) + " bytes");
    }
    co_return part;
}

awaitable_result<std::string> upstream_connection::read_whole_body(std::size_t maximum_bytes,
                                                                   base::milliseconds timeout, base::byte_lease* held) {
    body_bounds bounds{base::clock::now() + timeout, maximum_bytes};
    std::string body;
    while (true) {
        BOOST_OUTCOME_CO_TRY(auto const part, co_await read_within(bounds));
        if (part.empty())
            co_return body;
        auto const needed = body.size() + part.size();
        if (needed > body.capacity()) {
            auto const larger = std::max(needed, std::min(body.capacity() + body.capacity() / 2, maximum_bytes));
            if (held != nullptr && !held->resize(larger)) {
                failed_ = true;
                co_return base::make_error(base::error_kind::payload_too_large,
                                           "an answer of more than " + std::to_string(body.size()) +
                                               " bytes, beyond the memory for unfinished answers");
            }
            body.reserve(larger);
        }
        body += part;
    }
}

awaitable_result<std::size_t> upstream_connection::drop_body(std::size_t maximum_bytes, base::milliseconds timeout) {
    body_bounds bounds{base::clock::now() + timeout, maximum_bytes};
    while (true) {
        BOOST_OUTCOME_CO_TRY(auto const part, co_await read_within(bounds));
        if (part.empty())
            co_return bounds.received_bytes;
    }
}

bool upstream_connection::reusable() const {
    return open_ && !failed_ && !ending_ && !sending_ && kept_alive_;
}

bool upstream_connection::quiet() {
    if (!open_ || buffer_.size() > 0)
        return false;
    char byte = 0;
    auto const count = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::uint16_t upstream_connection::local_port() const {
    boost::system::error_code code;
    auto const local = stream_.socket().local_endpoint(code);
    return code ? std::uint16_t{0} : local.port();
}

bool upstream_connection::ended_by_peer() {
    char byte = 0;
    auto const count = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void upstream_connection::close() {
    open_ = false;
    stream_.close();
}

} // namespace cyclamenledge::http
