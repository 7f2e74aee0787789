#include "forwarding_entry/forwarder.h"

#include "forwarding_entry/answers.h"
#include "forwarding_entry/plain_exchange.h"
#include "forwarding_entry/stream_exchange.h"
#include "log/logger.h"

#include <optional>
#include <tuple>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

// How soon a caller may come back to a process that does not know the newest configuration. Other entries may know it.
constexpr base::milliseconds come_back_after{300};
// The wait of callers that do not say how long they wait.
constexpr base::milliseconds default_wait{30'000};

std::string_view host_of(http::request const& received) {
    auto const value = http::header_value(received, "Host");
    return value.substr(0, value.find(':'));
}

std::string_view path_of(http::request const& received) {
    std::string_view const target{received.target().data(), received.target().size()};
    return target.substr(0, target.find_first_of("?#"));
}

} // namespace

base::error forwarder::unknown_here(base::error_kind kind, std::string message) const {
    // A newer configuration, which this process has not seen, may well allow the request.
    if (!parts_.board.routes || !in_step_())
        return base::make_error(base::error_kind::out_of_service, "the newest configuration is not known here",
                                come_back_after);
    return base::make_error(kind, std::move(message));
}

std::string const& forwarder::choose_service(forwarding::route const& route) {
    std::uint64_t sum = 0;
    for (auto const& item : route.services)
        sum += item.weight;
    auto place = sum == 0 ? 0 : parts_.random.below(sum);
    for (auto const& item : route.services) {
        if (place < item.weight)
            return item.service;
        place -= item.weight;
    }
    static std::string const none;
    return none;
}

base::result<request_context> forwarder::prepare(http::session_pointer const& client, http::request received) {
    request_context request;
    request.arrived = base::clock::now();
    request.client = client;
    BOOST_OUTCOME_TRY(request.caller, platform::decode_caller_request(received));
    request.routes = parts_.board.routes;
    if (!request.routes)
        return unknown_here(base::error_kind::not_found, {});
    request.route = request.routes->find_route(host_of(received), path_of(received));
    if (request.route == nullptr)
        return unknown_here(base::error_kind::not_found, "no route for this host and path");
    request.organisation = request.routes->find_organisation(request.caller.api_key);
    if (request.organisation == nullptr && request.routes->requires_key() && !request.route->open_to_all)
        return unknown_here(base::error_kind::unauthorised, "the API key is not known");
    request.service = choose_service(*request.route);
    auto wait = request.caller.time_left.value_or(default_wait);
    if (request.route->timeout.count() > 0)
        wait = std::min(wait, request.route->timeout);
    request.deadline = request.arrived + wait;
    request.received = std::move(received);
    return request;
}

asio::awaitable<void> forwarder::handle(http::session_pointer client, http::request received) {
    parts_.metrics.add(metrics::counter_kind::requests);
    std::optional<process::request_guard> guard;
    if (daemon_.begin_request())
        guard.emplace(daemon_);
    // Callers open their next connection elsewhere.
    if (daemon_.drain_state() != membership::drain_state::running)
        client->end_after_answer();
    auto prepared = prepare(client, std::move(received));
    if (!prepared) {
        log::write(log::event_kind::request_refused,
                   {{"reason", base::name_of(prepared.error().kind)}, {"detail", prepared.error().message}});
        parts_.metrics.add(metrics::counter_kind::answers_refused);
        std::ignore = co_await client->send(own_answer(prepared.error()));
        co_return;
    }
    auto request = std::move(prepared).value();
    // A stream lasts longer than the rest of a planned stop.
    if (!guard && forwarding::is_stream(request.route->kind)) {
        log::write(log::event_kind::request_refused, {{"request", request.caller.id}, {"reason", "leaving"}});
        auto const leaving = base::make_error(base::error_kind::leaving, "this process stops", come_back_after);
        std::ignore = co_await client->send(own_answer(leaving));
        co_return;
    }
    if (forwarding::is_stream(request.route->kind)) {
        boost::intrusive_ptr<stream_exchange> const exchange{new stream_exchange{parts_, std::move(request)}};
        co_await exchange->run();
    } else {
        boost::intrusive_ptr<plain_exchange> const exchange{new plain_exchange{parts_, std::move(request)}};
        co_await exchange->run();
    }
}

} // namespace cyclamenledge::forwarding_entry
