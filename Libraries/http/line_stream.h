#pragma once

#include "http/client.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <memory>
#include <string>

namespace cyclamenledge::http {

/// A request whose answer is read line by line while it arrives.
class line_stream {
public:
    explicit line_stream(boost::asio::any_io_executor executor);

    /// Sends the request and reads the head of the answer. Returns its status.
    boost::asio::awaitable<client_result<unsigned>> open(boost::asio::ip::tcp::endpoint endpoint, request message,
                                                         client_timeouts timeouts);
    /// The next line without its end, or an empty line at the end of the answer.
    awaitable_result<std::string> read_line(base::milliseconds timeout);
    void close();

private:
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    beast_http::response_parser<beast_http::buffer_body> parser_;
    std::string pending_;
    std::size_t consumed_{0};
};

} // namespace cyclamenledge::http
