#pragma once

#include "http/server.h"
#include "process/role.h"
#include "process/runtime.h"

#include <boost/json/object.hpp>

namespace cyclamenledge::process {

/// Handles requests for health, readiness, metrics, the state dump and admission explanations on the operators'
/// address.
class operator_handler : public http::request_handler {
public:
    operator_handler(runtime& daemon, role& served)
        : daemon_(daemon)
        , role_(served) {}

    boost::asio::awaitable<void> handle(http::session_pointer client, http::request received) override;

    /// Responses to /healthz and /readyz. The load balancer requests them on the callers' address as well.
    static http::response health(runtime const& daemon, role const& served);
    static http::response readiness(runtime const& daemon, role const& served);

private:
    using parameters = std::string_view;
    using route = http::response (operator_handler::*)(parameters) const;
    struct route_row {
        std::string_view path;
        route answer;
    };
    static route_row const routes[];

    http::response answer_health(parameters query) const;
    http::response answer_readiness(parameters query) const;
    http::response answer_metrics(parameters query) const;
    http::response answer_state(parameters query) const;
    http::response answer_explain(parameters query) const;

    runtime& daemon_;
    role& role_;
};

} // namespace cyclamenledge::process
