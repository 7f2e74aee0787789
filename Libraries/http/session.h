#pragma once

#include "http/answer_framing.h"
#include "http/message.h"
#include "http/server_limits.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <functional>
#include <string>

namespace cyclamenledge::http {

/// One client connection of a server. All calls are made on the executor of its stream.
class session : public boost::intrusive_ref_counter<session> {
public:
    session(boost::asio::ip::tcp::socket socket, server_limits const& limits);

    /// Reads the next request within the limits. Fails with link_lost when the client has closed.
    awaitable_result<request> read_request();
    awaitable_result<void> send(response answer);

    /// Sends the head of an answer whose body follows in parts: in chunks, or up to the end of the connection.
    awaitable_result<void> start_stream(beast_http::response_header<> head,
                                        answer_framing framing = answer_framing::chunks);
    /// Sends the head of a chunked answer with the given content type.
    awaitable_result<void> start_stream(std::string_view content_type);
    awaitable_result<void> send_chunk(std::string text);
    awaitable_result<void> finish_stream();

    /// Calls the function when the client closes while its request is being served.
    void watch_for_close(std::function<void()> on_close);
    /// Drops the function: the request has been served.
    void end_watch() { on_close_ = nullptr; }

    bool keep_alive() const { return keep_alive_; }
    void end_after_answer() { keep_alive_ = false; }
    /// The session ends after the request that it serves, or at once while it waits for another one. A new connection
    /// whose first request has not begun to arrive is kept on, unless that is waived.
    void end_when_idle(bool waive_first_request);
    /// Closes at once. The peer may lose what it has not received yet.
    void close();
    /// Closes at once, and shows the peer that an answer without a length and without chunks is not complete.
    void reset();
    /// Ends the sending direction, then drops what the peer still sends until it closes too or the limits are reached.
    /// Closing with unread bytes would reset the connection and take away answers that are on their way.
    boost::asio::awaitable<void> finish();
    boost::asio::any_io_executor executor() { return stream_.get_executor(); }

private:
    /// What the client has sent since the last answer.
    enum class progress : std::uint8_t { nothing, part_of_request, whole_request };

    bool ends_idle() const { return waive_first_request_ || (ending_ && requests_ > 0); }
    void wait_for_close();
    void limit_read(base::milliseconds longest);
    bool end_read_limit();

    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer read_timer_;
    /// Number of the read that the timer limits.
    std::uint64_t limited_read_{0};
    bool read_expired_{false};
    boost::beast::flat_buffer buffer_;
    server_limits const& limits_;
    std::function<void()> on_close_;
    bool keep_alive_{true};
    /// Of the stream that is sent.
    answer_framing framing_{answer_framing::chunks};
    progress progress_{progress::nothing};
    bool ending_{false};
    bool waive_first_request_{false};
    std::uint64_t requests_{0};
};

using session_pointer = boost::intrusive_ptr<session>;

} // namespace cyclamenledge::http
