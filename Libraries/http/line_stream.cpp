#include "http/line_stream.h"

#include "http/status_kind.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include <limits>
#include <utility>

namespace cyclamenledge::http {

namespace asio = boost::asio;
namespace beast = boost::beast;

namespace {

constexpr auto use_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t read_chunk_bytes = 8192;
constexpr std::size_t maximum_line_bytes = 64UL * 1024;
// Received and not yet parsed, such as an incomplete chunk extension.
constexpr std::size_t maximum_unparsed_bytes = 64UL * 1024;

client_error make_client_error(request_progress progress, beast::error_code const& code) {
    return {progress, base::make_error(base::error_kind::io_failed, code.message())};
}

} // namespace

line_stream::line_stream(asio::any_io_executor executor)
    : stream_(std::move(executor))
    , buffer_(maximum_unparsed_bytes) {
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
}

asio::awaitable<client_result<unsigned>> line_stream::open(asio::ip::tcp::endpoint endpoint, request message,
                                                           client_timeouts timeouts) {
    stream_.expires_after(timeouts.connect);
    auto [connect_code] = co_await stream_.async_connect(endpoint, use_tuple);
    if (connect_code)
        co_return make_client_error(request_progress::not_sent, connect_code);
    beast::error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay{true}, ignored);
    stream_.expires_after(timeouts.answer);
    auto [write_code, written] = co_await beast_http::async_write(stream_, message, use_tuple);
    if (write_code)
        co_return make_client_error(request_progress::sent, write_code);
    auto [read_code, read] = co_await beast_http::async_read_header(stream_, buffer_, parser_, use_tuple);
    if (read_code)
        co_return make_client_error(request_progress::sent, read_code);
    auto const status = parser_.get().result_int();
    // Also for an interim answer, which nothing of this process asks for.
    if (kind_of_status(status) != status_kind::answer)
        co_return make_client_error(request_progress::sent, beast_http::error::bad_status);
    co_return status;
}

awaitable_result<std::string> line_stream::read_line(base::milliseconds timeout) {
    // Blank lines are no progress.
    auto const deadline = base::clock::now() + timeout;
    stream_.expires_at(deadline);
    bool received = false;
    std::array<char, read_chunk_bytes> chunk{};
    while (true) {
        auto const end = pending_.find('\n', consumed_);
        if (end != std::string::npos) {
            std::string line = pending_.substr(consumed_, end - consumed_);
            consumed_ = end + 1;
            if (consumed_ == pending_.size()) {
                pending_.clear();
                consumed_ = 0;
            }
            if (!line.empty())
                co_return line;
            continue;
        }
        if (parser_.is_done()) // A last line may have no end.
            co_return std::exchange(pending_, {}).substr(std::exchange(consumed_, 0));
        pending_.erase(0, consumed_);
        consumed_ = 0;
        if (pending_.size() > maximum_line_bytes)
            co_return base::make_error(base::error_kind::protocol_error, "the target sent a line over the size limit");

        parser_.get().body().data = chunk.data();
        parser_.get().body().size = chunk.size();
        // The stream does not expire between reads that find bytes.
        if (received && base::clock::now() >= deadline)
            co_return base::make_error(base::error_kind::io_failed, "the target sent no whole line in time");
        auto [code, read] = co_await beast_http::async_read_some(stream_, buffer_, parser_, use_tuple);
        if (code && code != beast_http::error::need_buffer)
            co_return base::make_error(base::error_kind::io_failed, code.message());
        received = true;
        pending_.append(chunk.data(), chunk.size() - parser_.get().body().size);
    }
}

void line_stream::close() {
    stream_.close();
}

} // namespace cyclamenledge::http
