#pragma once

#include "http/server.h"
#include "process/operator_handler.h"

#include <tuple>

namespace cyclamenledge::forwarding_entry {

/// Answers the load balancer's readiness checks, on any path: whether this entry accepts new connections.
class readiness_handler : public http::request_handler {
public:
    readiness_handler(process::runtime& daemon, process::role& served)
        : daemon_(daemon)
        , role_(served) {}

    boost::asio::awaitable<void> handle(http::session_pointer client, http::request) override {
        std::ignore = co_await client->send(process::operator_handler::readiness(daemon_, role_));
    }

private:
    process::runtime& daemon_;
    process::role& role_;
};

} // namespace cyclamenledge::forwarding_entry
