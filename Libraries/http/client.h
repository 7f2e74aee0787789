#pragma once

#include "base/time.h"
#include "http/message.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace cyclamenledge::http {

/// How far a request got before it failed, which decides whether it may have run.
enum class request_progress : std::uint8_t { not_sent, sent };

struct client_error {
    request_progress progress{request_progress::not_sent};
    base::error cause;
};

template <class Value>
using client_result = BOOST_OUTCOME_V2_NAMESPACE::checked<Value, client_error>;

/// Time limits of one exchange. The connection is new for each request, so that a failure to connect proves
/// that the request was not sent.
struct client_timeouts {
    base::milliseconds connect{2000};
    base::milliseconds answer{30000};
};

/// Asked once the connection stands, right before the request is sent. A refusal proves that it was not sent.
using send_permission = std::function<base::result<void>()>;

/// Sends one request on a new connection and reads the whole answer.
boost::asio::awaitable<client_result<response>> exchange(boost::asio::ip::tcp::endpoint endpoint, request message,
                                                         client_timeouts timeouts, std::size_t maximum_body_bytes,
                                                         send_permission may_send = {});

request make_request(beast_http::verb method, std::string_view path, std::string body);

} // namespace cyclamenledge::http
