#pragma once

#include "base/result.h"
#include "http/client.h"
#include "once/key_call.h"
#include "wire/generated/wire_generated.h"

#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <utility>

namespace cyclamenledge::agent {

/// The whole answer of a plain service.
struct service_answer {
    unsigned status{0};
    std::string content_type;
    std::string location;
    std::string body;
};

/// Speaks HTTP to the plain service beside the agent. A failure to connect proves that the call was not sent; after
/// any later failure it may have run.
class service_client {
public:
    explicit service_client(boost::asio::ip::tcp::endpoint endpoint)
        : endpoint_(std::move(endpoint)) {}

    /// The permission is asked for right before the call is sent.
    boost::asio::awaitable<http::client_result<service_answer>>
    call(wire::schema::SubmitCallT const& request, base::milliseconds patience, http::send_permission may_send) const;
    /// Whether the service accepts connections.
    boost::asio::awaitable<bool> reachable() const;

    static http::request to_request(wire::schema::SubmitCallT const& call);

private:
    boost::asio::ip::tcp::endpoint endpoint_;
};

} // namespace cyclamenledge::agent
