#include "forwarding_entry/run_stopper.h"

#include "platform/engine_calls.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

using forwarding::stop_outcome;

// The answer comes when the memory is copied, which waits for other copies on the same link.
constexpr base::milliseconds stop_timeout{1500};
constexpr base::milliseconds maximum_idle{1000};
constexpr base::milliseconds new_connection{0};
// Another copy of the same request is under way.
constexpr base::milliseconds busy_pause{20};
constexpr int maximum_calls = 4;

stop_outcome judge(platform::copy_result const& result) {
    switch (result.outcome) {
    case platform::copy_outcome::copied:
        return stop_outcome::moved;
    case platform::copy_outcome::no_room:
        // Without a handle the engine refused the call and not the memory.
        return result.handle.empty() ? stop_outcome::not_stopped : stop_outcome::kept;
    case platform::copy_outcome::not_running:
        return stop_outcome::not_running;
    case platform::copy_outcome::unanswered:
        return stop_outcome::unreachable;
    // A target that ends new connections is reachable and may go on.
    case platform::copy_outcome::connection_lost:
    case platform::copy_outcome::busy:
    case platform::copy_outcome::failed:
        break;
    }
    return stop_outcome::not_stopped;
}

/// Whether the target may have taken the call although its answer does not say so.
bool uncertain(platform::copy_outcome outcome) {
    using enum platform::copy_outcome;
    return outcome == connection_lost || outcome == unanswered || outcome == failed;
}

} // namespace

asio::awaitable<stop_answer> stop_run(entry_parts& parts, stop_request wanted) {
    platform::copy_result result;
    bool answers_uncertain = false;
    std::uint16_t local_port = 0;
    std::uint64_t earlier_requests = 0;
    auto const conclude = [&](stop_outcome outcome) {
        return stop_answer{outcome,       result.handle,
                           result.events, forwarding::effect_of(outcome, answers_uncertain),
                           local_port,    earlier_requests};
    };
    auto idle = maximum_idle;
    for (int call = 0; call < maximum_calls; ++call) {
        if (parts.board.fleet.has_newer_incarnation(wanted.address, wanted.target_started_at))
            co_return conclude(stop_outcome::ended);
        auto connection = std::exchange(wanted.connection, nullptr);
        if (!connection) {
            auto const connected = co_await parts.connections.acquire(
                wanted.address, std::string{platform::unnamed_call}, target_connections::connect_timeout, idle);
            if (!connected) {
                bool const refused = connected.error().kind == base::error_kind::link_lost;
                co_return conclude(refused ? stop_outcome::ended : stop_outcome::unreachable);
            }
            connection = connected.value();
        }
        if (!parts.board.fleet.take_copy_call(wanted.target, base::clock::now())) {
            parts.connections.release(wanted.address, connection, {});
            break;
        }
        local_port = connection->local_port();
        earlier_requests = connection->requests();
        platform::copy_command command{wanted.request, wanted.destination, true};
        auto on_notices = parts.notices.make_handler({wanted.target, wanted.target_started_at}, wanted.request);
        result = co_await platform::copy_memory(*connection, std::move(command), stop_timeout, std::move(on_notices));
        parts.connections.release(wanted.address, connection, {});
        if (result.events.value_or(wanted.events) < wanted.events)
            result = {};
        answers_uncertain = answers_uncertain || uncertain(result.outcome);
        if (result.outcome == platform::copy_outcome::connection_lost) {
            // The target may have ended, or have closed a connection that was idle.
            idle = new_connection;
            continue;
        }
        if (result.outcome != platform::copy_outcome::busy)
            break;
        asio::steady_timer timer{parts.context, busy_pause};
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return conclude(judge(result));
}

} // namespace cyclamenledge::forwarding_entry
