#include "forwarding_entry/target_inquiry.h"

#include "forwarding_entry/run_witness_client.h"
#include "log/logger.h"
#include "network/endpoint.h"
#include "platform/engine_calls.h"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

using forwarding::incarnation_state;

// Several round trips to the furthest region.
constexpr base::milliseconds report_timeout{300};
constexpr base::milliseconds maximum_idle{1000};
constexpr base::milliseconds new_connection{0};
// An idle connection may end while it is used, so a new one is tried after it.
constexpr int maximum_calls = 3;

base::milliseconds time_left(target_inquiry const& asked, base::milliseconds longest) {
    auto const left = std::chrono::duration_cast<base::milliseconds>(asked.deadline - base::clock::now());
    return std::clamp(left, base::milliseconds{1}, longest);
}

asio::awaitable<incarnation_state> connect_to(entry_parts& parts, target_inquiry const& asked) {
    auto const endpoint = network::parse_endpoint(asked.address);
    if (!endpoint)
        co_return incarnation_state::unknown;
    // Not one of the pool: it would be of no use for another request.
    http::upstream_pointer const probe{new http::upstream_connection{parts.context.get_executor(), endpoint.value()}};
    auto const connected = co_await probe->connect(time_left(asked, target_connections::connect_timeout));
    probe->close();
    if (connected || parts.connections.any_open(asked.address))
        co_return incarnation_state::running;
    co_return connected.error().kind == base::error_kind::link_lost ? incarnation_state::ended
                                                                    : incarnation_state::unknown;
}

/// A target that has no room for another connection refuses it like one that has ended, so its agent is asked.
asio::awaitable<incarnation_state> ask_agent(entry_parts& parts, target_inquiry const& asked) {
    run_witness_client::run_question const question{asked.address, {}, asked.started_at};
    auto const open = parts.witnesses.ask(question);
    co_return forwarding::state_shown_by((co_await open->wait()).evidence);
}

asio::awaitable<incarnation_state> ask_for_report(entry_parts& parts, target_inquiry const& asked) {
    auto idle = maximum_idle;
    std::string const name{platform::unnamed_call};
    // A target in a hold-off is asked once.
    int const calls = parts.board.fleet.held_off(asked.target, base::clock::now()) ? 1 : maximum_calls;
    for (int call = 0; call < calls && base::clock::now() < asked.deadline; ++call) {
        auto const connected = co_await parts.connections.acquire(
            asked.address, name, time_left(asked, target_connections::connect_timeout), idle);
        if (!connected)
            co_return co_await ask_agent(parts, asked);
        auto const& connection = connected.value();
        auto const report = co_await platform::read_report(*connection, time_left(asked, report_timeout));
        parts.connections.release(asked.address, connection, {});
        if (report && report.value().started_at == 0)
            co_return incarnation_state::unknown;
        if (report)
            co_return report.value().started_at == asked.started_at ? incarnation_state::running
                                                                    : incarnation_state::ended;
        idle = new_connection;
    }
    co_return incarnation_state::unknown;
}

} // namespace

asio::awaitable<bool> connection_ends_answer(entry_parts& parts, target_inquiry asked) {
    auto state = incarnation_state::unknown;
    bool const asks = forwarding::ends_whole_answer(incarnation_state::running, asked.stopped);
    if (asks && asked.reports)
        state = co_await ask_for_report(parts, asked);
    else if (asks)
        state = co_await connect_to(parts, asked);
    if (parts.board.fleet.has_newer_incarnation(asked.address, asked.started_at))
        state = incarnation_state::ended;
    bool const whole = forwarding::ends_whole_answer(state, asked.stopped);
    log::write(log::event_kind::connection_end_judged, {{"request", asked.request},
                                                        {"run", asked.run},
                                                        {"target", asked.target},
                                                        {"stopped", forwarding::name_of(asked.stopped)},
                                                        {"incarnation", forwarding::name_of(state)},
                                                        {"whole", whole}});
    co_return whole;
}

} // namespace cyclamenledge::forwarding_entry
