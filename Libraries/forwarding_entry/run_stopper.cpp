#include "forwarding_entry/run_stopper.h"

#include "forwarding_entry/run_witness_client.h"
#include "platform/engine_calls.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

using forwarding::run_evidence;
using forwarding::stop_call;

// The answer comes when the memory is copied, which waits for other copies on the same link.
constexpr base::milliseconds stop_timeout{1500};
constexpr base::milliseconds maximum_idle{1000};
constexpr base::milliseconds new_connection{0};
// Another copy of the same request is under way.
constexpr base::milliseconds busy_pause{20};
constexpr int maximum_calls = 4;

/// Whether the target may have taken the call although its answer does not say so.
bool uncertain(platform::copy_outcome outcome) {
    using enum platform::copy_outcome;
    return outcome == connection_lost || outcome == unanswered || outcome == failed;
}

/// What came of the calls of this process, and of the agent's in its place.
struct call_record {
    stop_call call{stop_call::declined};
    platform::copy_result result;
    bool answers_uncertain{false};
    std::uint16_t local_port{0};
    std::uint64_t earlier_requests{0};
};

/// A connection to the target. While the target takes no new one, one that was idle for long is the only way to it.
asio::awaitable<http::upstream_pointer> find_connection(entry_parts& parts, stop_request const& wanted,
                                                        base::milliseconds idle, call_record& made) {
    std::string const name{platform::unnamed_call};
    auto const connected =
        co_await parts.connections.acquire(wanted.address, name, target_connections::connect_timeout, idle);
    if (connected)
        co_return connected.value();
    if (auto kept = parts.connections.take_any_idle(wanted.address, name))
        co_return kept;
    made.call = connected.error().kind == base::error_kind::link_lost ? stop_call::refused : stop_call::out_of_reach;
    co_return nullptr;
}

asio::awaitable<call_record> call_target(entry_parts& parts, stop_request& wanted) {
    call_record made;
    auto idle = maximum_idle;
    for (int call = 0; call < maximum_calls; ++call) {
        auto connection = std::exchange(wanted.connection, nullptr);
        if (!connection)
            connection = co_await find_connection(parts, wanted, idle, made);
        if (!connection)
            co_return made;
        if (!parts.board.fleet.take_copy_call(wanted.target, base::clock::now())) {
            parts.connections.release(wanted.address, connection, {});
            made.call = stop_call::declined;
            co_return made;
        }
        made.local_port = connection->local_port();
        made.earlier_requests = connection->requests();
        platform::copy_command command{wanted.request, wanted.destination, true};
        auto on_notices = parts.notices.make_handler({wanted.target, wanted.target_started_at}, wanted.request);
        made.result =
            co_await platform::copy_memory(*connection, std::move(command), stop_timeout, std::move(on_notices));
        parts.connections.release(wanted.address, connection, {});
        if (made.result.events.value_or(wanted.events) < wanted.events)
            made.result = {};
        made.call = platform::stop_call_of(made.result);
        made.answers_uncertain = made.answers_uncertain || uncertain(made.result.outcome);
        if (made.result.outcome == platform::copy_outcome::connection_lost) {
            // The target may have ended, or have closed a connection that was idle.
            idle = new_connection;
            continue;
        }
        if (made.result.outcome != platform::copy_outcome::busy)
            break;
        asio::steady_timer timer{parts.context, busy_pause};
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return made;
}

/// Has the agent stop a run that it sees, because this process has no connection to the target.
asio::awaitable<run_evidence> stop_through_agent(entry_parts& parts, stop_request const& wanted,
                                                 run_witness_client::run_question asked, call_record& made) {
    auto const question = parts.witnesses.ask_to_stop(asked, wanted.destination);
    auto const statement = co_await question->wait();
    if (!statement.call) {
        // The agent's answer may have been lost after its call.
        made.answers_uncertain = made.answers_uncertain || statement.evidence == run_evidence::none;
        co_return statement.evidence;
    }
    made.call = *statement.call;
    made.result.handle = statement.handle;
    made.result.events = statement.events;
    made.answers_uncertain =
        made.answers_uncertain || made.call == stop_call::unconfirmed || made.call == stop_call::unanswered;
    co_return statement.evidence;
}

} // namespace

asio::awaitable<stop_answer> stop_run(entry_parts& parts, stop_request wanted) {
    run_witness_client::run_question const asked{wanted.address, wanted.request, wanted.target_started_at};
    run_witness_client::question_pointer question;
    // A pause of the stream goes on meanwhile, so the agent is asked before it is known whether that is needed.
    if (wanted.condition != forwarding::run_condition::leaving)
        question = parts.witnesses.ask(asked);
    auto made = co_await call_target(parts, wanted);
    auto evidence = run_evidence::none;
    if (forwarding::needs_evidence(made.call, wanted.run_connection())) {
        if (!question)
            question = parts.witnesses.ask(asked);
        evidence = (co_await question->wait()).evidence;
    }
    bool const unconnected = made.call == stop_call::refused || made.call == stop_call::out_of_reach;
    if (unconnected && evidence == run_evidence::working)
        evidence = co_await stop_through_agent(parts, wanted, asked, made);
    if (evidence == run_evidence::none &&
        parts.board.fleet.has_newer_incarnation(wanted.address, wanted.target_started_at))
        evidence = run_evidence::newer_listing;
    auto const outcome = forwarding::judge_stop(made.call, wanted.run_connection(), evidence);
    co_return stop_answer{
        outcome,   made.result.handle, made.result.events, forwarding::effect_of(outcome, made.answers_uncertain),
        made.call, evidence,           made.local_port,    made.earlier_requests};
}

} // namespace cyclamenledge::forwarding_entry
