#pragma once

#include "http/line_stream.h"

#include <cstdint>
#include <string>

namespace cyclamenledge::http {

enum class completion_part : std::uint8_t { token, finish, error, broken };

/// One part of a streamed completion, as a caller receives it.
struct completion_event {
    completion_part part{completion_part::broken};
    /// The token, the finish reason, the kind of the error, or why the connection broke.
    std::string text;
    /// The message of an error.
    std::string message;
};

/// The caller's side of a streamed completion.
class completion_stream {
public:
    explicit completion_stream(boost::asio::any_io_executor executor)
        : lines_(std::move(executor)) {}

    /// Sends the request. Returns the status of the answer; an error status is followed by one error event.
    boost::asio::awaitable<client_result<unsigned>> open(boost::asio::ip::tcp::endpoint entry, std::string bearer_key,
                                                         std::string body, client_timeouts timeouts);
    boost::asio::awaitable<completion_event> next(base::milliseconds timeout);

private:
    line_stream lines_;
};

/// The kind and the message of an error body.
completion_event parse_error_body(std::string const& body);

} // namespace cyclamenledge::http
