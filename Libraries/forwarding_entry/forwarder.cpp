#include "forwarding_entry/forwarder.h"

#include "forwarding/request_fingerprint.h"
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

// Retry-After of refusals by a process that may lack the newest configuration or that drains. Another entry may serve
// the request.
constexpr base::milliseconds retry_delay{300};
// Used for requests without a deadline header.
constexpr base::milliseconds default_caller_timeout{30'000};

std::string_view host_of(http::request const& received) {
    auto const value = http::header_value(received, "Host");
    return value.substr(0, value.find(':'));
}

std::string_view path_of(http::request const& received) {
    std::string_view const target{received.target().data(), received.target().size()};
    return target.substr(0, target.find_first_of("?#"));
}

/// Logs that the process ended while it served a request: the request's coroutine is destroyed before its end.
class cut_off_notice {
public:
    explicit cut_off_notice(std::string request)
        : request_(std::move(request)) {}
    cut_off_notice(cut_off_notice const&) = delete;
    cut_off_notice& operator=(cut_off_notice const&) = delete;
    cut_off_notice(cut_off_notice&&) = delete;
    cut_off_notice& operator=(cut_off_notice&&) = delete;
    ~cut_off_notice() {
        if (!served_)
            log::write(log::event_kind::request_cut_off, {{"request", request_}});
    }
    void set_served() { served_ = true; }

private:
    std::string request_;
    bool served_{false};
};

} // namespace

base::error forwarder::refuse_unknown(base::error_kind kind, std::string message) const {
    // A newer configuration that this process has not received may allow the request.
    if (!parts_.board.routes || !is_current_())
        return base::make_error(base::error_kind::out_of_service, "the newest configuration is not known here",
                                retry_delay);
    return base::make_error(kind, std::move(message));
}

std::string const& forwarder::choose_service(forwarding::route const& route) {
    std::uint64_t total_weight = 0;
    for (auto const& weighted : route.services)
        total_weight += weighted.weight;
    auto offset = total_weight == 0 ? 0 : parts_.random.below(total_weight);
    for (auto const& weighted : route.services) {
        if (offset < weighted.weight)
            return weighted.service;
        offset -= weighted.weight;
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
        return refuse_unknown(base::error_kind::not_found, {});
    request.route = request.routes->find_route(host_of(received), path_of(received));
    if (request.route == nullptr)
        return refuse_unknown(base::error_kind::not_found, "no route for this host and path");
    request.organisation = request.routes->find_organisation(request.caller.api_key);
    if (request.organisation == nullptr && request.routes->requires_key() && !request.route->public_access)
        return refuse_unknown(base::error_kind::unauthorised, "the API key is not known");
    request.service = choose_service(*request.route);
    auto caller_timeout = request.caller.time_left.value_or(default_caller_timeout);
    if (request.route->timeout.count() > 0)
        caller_timeout = std::min(caller_timeout, request.route->timeout);
    request.deadline = request.arrived + caller_timeout;
    std::string_view const path{received.target().data(), received.target().size()};
    request.content.fingerprint = forwarding::request_fingerprint(
        request.organisation == nullptr ? "" : request.organisation->name, path, received.body());
    for (auto const& id : request.caller.shared_prompt_parts)
        request.content.parts.push_back({id, forwarding::prompt_part_fingerprint(id)});
    request.received = std::move(received);
    return request;
}

bool forwarder::limit_to_stop(request_context& request) const {
    auto const aborts_at = daemon_.aborts_at();
    if (!aborts_at || *aborts_at - stop_answer_reserve >= request.deadline)
        return true;
    request.deadline = *aborts_at - stop_answer_reserve;
    return base::clock::now() + request.route->latency_objective < request.deadline;
}

asio::awaitable<void> forwarder::refuse_leaving(http::session_pointer client, std::string request) {
    log::write(log::event_kind::request_refused, {{"request", request}, {"reason", "leaving"}});
    auto const leaving = base::make_error(base::error_kind::leaving, "this process stops", retry_delay);
    std::ignore = co_await client->send(make_error_answer(leaving));
}

asio::awaitable<void> forwarder::handle(http::session_pointer client, http::request received) {
    parts_.metrics.add(metrics::counter_kind::requests);
    // Counted from the start, so that the process does not end before the answer is sent.
    std::optional<process::request_guard> guard;
    if (daemon_.begin_short_request())
        guard.emplace(daemon_);
    // While this process drains, callers have to open their next connection at another entry.
    if (daemon_.drain_state() != membership::drain_state::running)
        client->end_after_answer();
    auto prepared = prepare(client, std::move(received));
    if (!prepared) {
        log::write(log::event_kind::request_refused,
                   {{"reason", base::name_of(prepared.error().kind)}, {"detail", prepared.error().message}});
        parts_.metrics.add(metrics::counter_kind::answers_refused);
        std::ignore = co_await client->send(make_error_answer(prepared.error()));
        co_return;
    }
    auto request = std::move(prepared).value();
    if (auto const refused = parts_.suspects.refuse(request.content)) {
        log::write(log::event_kind::request_refused, {{"request", request.caller.id},
                                                      {"reason", base::name_of(base::error_kind::poison_request)},
                                                      {"fingerprint", refused->fingerprint}});
        parts_.metrics.add(metrics::counter_kind::answers_refused);
        std::ignore = co_await client->send(make_error_answer(make_poison_refusal(refused->time_to_expiry)));
        co_return;
    }
    // A stream can last longer than the rest of the drain, so none is started.
    bool const refuses_streams = daemon_.drain_state() >= membership::drain_state::refusing;
    bool const is_stream = forwarding::is_stream(request.route->kind);
    if (!guard || (refuses_streams && is_stream)) {
        co_await refuse_leaving(client, request.caller.id);
        co_return;
    }
    if (!is_stream && !limit_to_stop(request)) {
        co_await refuse_leaving(client, request.caller.id);
        co_return;
    }
    cut_off_notice notice{request.caller.id};
    if (is_stream) {
        boost::intrusive_ptr<stream_exchange> const exchange{new stream_exchange{parts_, std::move(request)}};
        co_await exchange->run();
    } else {
        boost::intrusive_ptr<plain_exchange> const exchange{new plain_exchange{parts_, std::move(request)}};
        co_await exchange->run();
    }
    notice.set_served();
}

} // namespace cyclamenledge::forwarding_entry
