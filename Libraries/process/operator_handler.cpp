#include "process/operator_handler.h"

#include <boost/json/serialize.hpp>
#include <boost/url/params_view.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <string>
#include <tuple>
#include <utility>

namespace cyclamenledge::process {

namespace {

constexpr std::string_view json_type = "application/json";
constexpr std::string_view text_type = "text/plain; charset=utf-8";

std::string parameter(std::string_view query, std::string_view name) {
    // The parsed view refers to this string.
    auto const text = "/?" + std::string(query);
    auto const parsed = boost::urls::parse_origin_form(text);
    if (!parsed)
        return {};
    for (auto const& item : parsed->params()) {
        if (item.key == name)
            return item.value;
    }
    return {};
}

} // namespace

operator_handler::route_row const operator_handler::routes[] = {
    {"/healthz", &operator_handler::answer_health},  {"/readyz", &operator_handler::answer_readiness},
    {"/metrics", &operator_handler::answer_metrics}, {"/state", &operator_handler::answer_state},
    {"/explain", &operator_handler::answer_explain},
};

boost::asio::awaitable<void> operator_handler::handle(http::session_pointer client, http::request received) {
    std::string_view const target{received.target().data(), received.target().size()};
    auto const mark = target.find('?');
    auto const path = target.substr(0, mark);
    auto const query = mark == std::string_view::npos ? std::string_view{} : target.substr(mark + 1);

    auto answer = http::make_error_response(base::make_error(base::error_kind::not_found, "no such operator endpoint"));
    for (auto const& row : routes) {
        if (row.path == path)
            answer = (this->*row.answer)(query);
    }
    std::ignore = co_await client->send(std::move(answer));
}

http::response operator_handler::health(runtime const&, role const&) {
    return http::make_response(200, text_type, "ok\n");
}

http::response operator_handler::readiness(runtime const& daemon, role const& served) {
    if (daemon.drain_state() != membership::drain_state::running)
        return http::make_error_response(base::make_error(base::error_kind::leaving, "this process is stopping"));
    if (!served.able_to_serve())
        return http::make_error_response(
            base::make_error(base::error_kind::no_target, "this process cannot serve yet"));
    return http::make_response(200, text_type, "ready\n");
}

http::response operator_handler::answer_health(parameters) const {
    return health(daemon_, role_);
}

http::response operator_handler::answer_readiness(parameters) const {
    return readiness(daemon_, role_);
}

http::response operator_handler::answer_metrics(parameters) const {
    return http::make_response(200, "text/plain; version=0.0.4", daemon_.metrics().prometheus_text());
}

http::response operator_handler::answer_state(parameters) const {
    boost::json::object dump;
    auto const& identity = daemon_.identity();
    dump["process"] = identity.process;
    dump["incarnation"] = identity.incarnation;
    dump["failure_domain"] = identity.failure_domain;
    dump["uptime_seconds"] = base::to_seconds(base::clock::now() - daemon_.started_at());
    dump["drain"] = membership::name_of(daemon_.drain_state());
    dump["open_requests"] = daemon_.open_requests();
    for (auto const& item : daemon_.state())
        dump[item.key()] = item.value();
    for (auto const& item : role_.state())
        dump[item.key()] = item.value();
    return http::make_response(200, json_type, boost::json::serialize(dump) + "\n");
}

http::response operator_handler::answer_explain(parameters query) const {
    auto const explanation = role_.explain(parameter(query, "organisation"), parameter(query, "service"));
    if (!explanation)
        return http::make_error_response(explanation.error());
    return http::make_response(200, json_type, boost::json::serialize(explanation.value()) + "\n");
}

} // namespace cyclamenledge::process
