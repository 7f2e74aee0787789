#pragma once

#include "support/process/wait_until.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamenledge::tests::process {

using header_list = std::vector<std::pair<std::string, std::string>>;

boost::asio::ip::tcp::endpoint to_endpoint(std::string const& address);

struct http_call {
    std::string method{"GET"};
    std::string path{"/"};
    header_list headers{};
    std::string body{};
    std::chrono::milliseconds timeout{patience};

    boost::beast::http::request<boost::beast::http::string_body> message() const;
};

struct http_answer {
    /// Zero when no answer came.
    unsigned status{0};
    std::string body;
    header_list headers;
    /// Why no answer came.
    std::string failure;
    /// What arrived of the body of an answer that broke off.
    std::string partial_body;

    std::string header(std::string_view name) const;
    /// The body as JSON; null when it is not JSON.
    boost::json::value json() const;
    /// The kind in an error body, or an empty text.
    std::string error_kind() const;
};

/// One call on a new connection, on the executor of the caller.
boost::asio::awaitable<http_answer> async_call(std::string address, http_call call);
/// The same, waiting for the answer.
http_answer call(std::string const& address, http_call const& request);
http_answer get(std::string const& address, std::string const& path);
http_answer post(std::string const& address, std::string const& path, std::string const& body,
                 header_list headers = {});

/// One server-sent event.
struct stream_event {
    std::string name;
    std::string data;
};

/// A request whose answer is read as server-sent events while it arrives.
class event_stream {
public:
    explicit event_stream(boost::asio::any_io_executor const& executor)
        : stream_(executor) {}

    /// Sends the call and reads the head of the answer. Returns the status; zero when no answer came.
    boost::asio::awaitable<unsigned> open(std::string address, http_call call);
    /// The next event. Empty at the end of the answer, see complete().
    boost::asio::awaitable<std::optional<stream_event>> next();
    /// Whether the answer has ended as HTTP says, and not by a broken connection.
    bool complete() const { return parser_.is_done(); }
    std::string const& failure() const { return failure_; }
    /// The part of the body that holds no event, such as a JSON error.
    std::string const& rest() const { return pending_; }
    void close() { stream_.close(); }

private:
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    boost::beast::http::response_parser<boost::beast::http::buffer_body> parser_;
    std::chrono::milliseconds timeout_{patience};
    std::string pending_;
    std::string failure_;
};

/// Sends bytes as they are and returns everything that the peer answers until it closes the connection.
struct raw_answer {
    std::string bytes;
    /// False when the peer kept the connection open for the whole time.
    bool closed{false};
};
raw_answer send_raw(std::string const& address, std::string const& bytes, bool half_close,
                    std::chrono::milliseconds longest = patience);

} // namespace cyclamenledge::tests::process
