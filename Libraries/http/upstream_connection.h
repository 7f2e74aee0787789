#pragma once

#include "base/byte_budget.h"
#include "base/time.h"
#include "http/answer_framing.h"
#include "http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::http {

using response_head = beast_http::response_header<>;

/// A client connection that carries one request after another and reads each answer while it arrives.
/// One coroutine may send while another one reads. The error kind is link_lost if the peer refused or ended the
/// connection, and deadline_exceeded after a timeout.
class upstream_connection : public boost::intrusive_ref_counter<upstream_connection> {
public:
    upstream_connection(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint endpoint);

    awaitable_result<void> connect(base::milliseconds timeout);
    awaitable_result<void> send(request const& message, base::milliseconds timeout);
    /// Reads the head of the next answer, whose status is from 200 to 599. Fails with io_failed for a message that is
    /// no answer. The limits of time and bytes are for the head with all interim answers before it. The answer to a
    /// HEAD request has no body.
    awaitable_result<response_head> read_head(base::milliseconds timeout, bool body_expected = true);
    /// The next part of the body, empty at its end. Fails when the answer is cut off. Bytes that arrived before the
    /// time limit are read even if it has passed.
    awaitable_result<std::string> read_body(base::milliseconds timeout);
    /// Reads the rest of a body of at most the given size. The lease covers the memory of the body; without one it has
    /// no other limit.
    awaitable_result<std::string> read_whole_body(std::size_t maximum_bytes, base::milliseconds timeout,
                                                  base::byte_lease* held = nullptr);
    /// Reads the rest of a body of at most the given size without storing it, and returns its size.
    awaitable_result<std::size_t> drop_body(std::size_t maximum_bytes, base::milliseconds timeout);

    /// Of the answer whose head was read last.
    answer_framing framing() const { return framing_; }
    /// Whether the answer was read to its end and the connection may carry another request.
    bool reusable() const;
    /// Whether the peer has neither closed the connection nor sent bytes that nobody asked for.
    bool quiet();
    /// Whether the peer has ended or reset the connection, as far as it is known without a message.
    bool ended_by_peer();
    /// Records the name of a request that is about to be sent. Requests whose answers cannot be told apart have the
    /// same name: an answer may arrive once more and late, as the answer to the next request.
    void add_request_name(std::string_view name);
    /// Whether a request of that name was recorded. A late answer to it would be taken for one to a second request.
    bool has_request_name(std::string_view name) const;
    /// Whether at most one request was sent, so that no answer to an earlier one can arrive.
    bool carries_first_request() const { return requests_ <= 1; }
    /// Requests that were sent.
    std::uint64_t requests() const { return requests_; }
    /// Port of this end, which tells the connection from others to the same peer. Zero unless it is open.
    std::uint16_t local_port() const;
    /// The connection carries no other request.
    void end_after_answer() { ending_ = true; }
    void close();
    /// Memory held for received bytes.
    std::size_t buffer_bytes() const { return buffer_.capacity(); }
    boost::asio::ip::tcp::endpoint const& endpoint() const { return endpoint_; }

private:
    using parser = beast_http::response_parser<beast_http::buffer_body>;

    struct body_bounds {
        base::time_point deadline;
        std::size_t maximum_bytes{0};
        std::size_t received_bytes{0};
    };

    /// The next part of a body that has to end within the bounds, empty at its end.
    awaitable_result<std::string> read_within(body_bounds& bounds);
    /// Sets the time limit of the next reads and returns it.
    base::time_point limit_reads(base::milliseconds timeout);
    base::error fail_read(boost::system::error_code code);
    /// Gives back the memory that only the answer needed, because the connection may be kept.
    void finish_answer();

    boost::beast::tcp_stream stream_;
    boost::asio::ip::tcp::endpoint endpoint_;
    boost::beast::flat_buffer buffer_;
    /// Of the answer that is being read.
    std::optional<parser> parser_;
    answer_framing framing_{answer_framing::unknown};
    std::uint64_t requests_{0};
    /// Hashes, because names may be long.
    std::vector<std::uint64_t> request_names_;
    bool open_{false};
    /// Whether an answer was read to its end and allows another request.
    bool kept_alive_{false};
    bool sending_{false};
    bool failed_{false};
    bool ending_{false};
};

using upstream_pointer = boost::intrusive_ptr<upstream_connection>;

} // namespace cyclamenledge::http
