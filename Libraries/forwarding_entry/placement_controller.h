#pragma once

#include "base/result.h"
#include "forwarding/return_schedule.h"
#include "forwarding_entry/blackboard.h"
#include "forwarding_entry/permit_controller.h"
#include "forwarding_entry/placement_need.h"
#include "forwarding_entry/reservation_client.h"
#include "metrics/registry.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// Assigns requests to targets and queues the requests for which no target has room.
class placement_controller {
public:
    placement_controller(boost::asio::io_context& context, blackboard& board, reservation_client& reservations,
                         permit_controller& permits, metrics::registry& metrics)
        : context_(context)
        , board_(board)
        , reservations_(reservations)
        , permits_(permits)
        , metrics_(metrics) {}

    /// Returns the id of the target. The request counts as open there until release is called.
    boost::asio::awaitable<base::result<std::string>> place(placement_need need);
    /// The same, but at once or not at all: the request has a target already. No value when no other target with room
    /// may receive it now.
    boost::asio::awaitable<std::optional<std::string>> place_now(placement_need need);
    void release(std::string const& target, std::string const& request, run_end const& end = {});
    /// The same for a request that was not sent to the target.
    void withdraw(std::string const& target, std::string const& request);

    /// Time until a caller should return whose request the last target has refused.
    base::milliseconds return_time(forwarding::placement_request const& request);

    /// Updates the target's health with the outcome of a request.
    void record_outcome(std::string const& target, forwarding::target_outcome outcome);

    /// No request waits in the queue beyond this time.
    void set_queue_end(base::time_point end);

    /// Tries queued requests again, because a target may have room now.
    void on_capacity_change();

private:
    /// Retry-After when no target has room. A few runs end in this time at any engine.
    static constexpr base::milliseconds default_retry_after{500};

    struct choice {
        forwarding::placement placed;
        /// Reservation that counts the request at the target until the agent's reports include it.
        std::uint64_t reservation{0};
        /// Expected time until there is room, if the request waits for it at the engine's agent.
        std::optional<base::milliseconds> wait{};

        bool refused() const { return placed.kind != forwarding::placement_kind::placed; }
    };
    struct queued_request {
        queued_request(boost::asio::io_context& context, placement_need& queued_need)
            : timer(context)
            , need(&queued_need) {}
        boost::asio::steady_timer timer;
        placement_need* need;
        std::optional<choice> chosen_target;
    };

    /// A request under overload control.
    struct agent_request {
        placement_need* need{nullptr};
        /// The engine at whose agent it waits. Empty while it does not wait.
        std::string waits_at{};
        /// Another engine that has got room meanwhile, counted there already.
        std::optional<choice> other_engine{};
    };

    /// Chooses a target by the local fleet view and counts the request there. No value when the request has to wait.
    std::optional<choice> choose(placement_need& need, base::time_point now);
    forwarding::placement choose_and_request_permit(placement_need const& need, base::time_point now);
    /// Reserves room with the agent beside the chosen engine, which knows what other entries have placed. Returns
    /// whether the request may be sent.
    boost::asio::awaitable<bool> reserve_at_agent(placement_need& need, choice chosen, base::milliseconds wait = {});
    boost::asio::awaitable<std::optional<choice>> try_place(placement_need& need);
    /// Places a request of a service under overload control. Without room it waits at the agent of the engine that is
    /// expected to have room first, so that the most urgent request of all entries gets the room.
    boost::asio::awaitable<base::result<std::string>> place_by_agents(placement_need need);
    boost::asio::awaitable<base::result<std::string>> wait_at_agents(agent_request& self);
    /// Ends the wait of requests at one agent when another engine has room. They lose no rank, since agents order them
    /// by their arrival at the entry.
    void leave_agents_for_room(base::time_point now);
    void retry_queued(base::time_point now);
    void discard(choice const& unused, base::time_point now);
    /// Chooses an engine for the next attempt of place_by_agents. No value if none can be asked now.
    std::optional<choice> choose_or_queue(placement_need& need, base::time_point now);
    /// Refuses the request if room comes too late for it. No value if it may wait for the expected time.
    std::optional<base::error> refuse_without_outlook(placement_need const& need, base::milliseconds expected_wait,
                                                      base::time_point now);
    boost::asio::awaitable<base::result<std::string>> wait_in_queue(placement_need& need, std::uint64_t number);
    base::error refuse(placement_need const& need, std::string_view reason,
                       base::milliseconds retry_after = default_retry_after) const;
    /// Refuses a request for which no target is eligible, or no permit will be available soon enough.
    base::error refuse(placement_need const& need, forwarding::placement const& chosen);
    /// Time until the next refused caller should return.
    base::milliseconds next_return(forwarding::placement_request const& request,
                                   forwarding::placement const& exhausted);
    void end_reservation(std::string const& target, std::string const& request, run_end const& end);

    boost::asio::io_context& context_;
    blackboard& board_;
    reservation_client& reservations_;
    permit_controller& permits_;
    metrics::registry& metrics_;
    std::map<std::string, forwarding::return_schedule, std::less<>> return_schedules_;
    std::map<std::uint64_t, queued_request*> queued_;
    std::uint64_t next_number_{1};
    /// Requests in place_by_agents.
    std::map<std::uint64_t, agent_request*> at_agents_;
    base::time_point queue_end_{base::time_point::max()};
};

} // namespace cyclamenledge::forwarding_entry
