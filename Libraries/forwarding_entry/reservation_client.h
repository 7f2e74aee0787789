#pragma once

#include "forwarding_entry/agent_directory.h"
#include "link/hub.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace cyclamenledge::forwarding_entry {

enum class reservation_reply : std::uint8_t {
    granted,
    refused,
    /// The agent is not connected or did not answer in time. Its engine may be unreachable as well.
    unresponsive,
    /// The request stopped waiting before the agent had answered.
    withdrawn,
};

std::string_view name_of(reservation_reply reply);

/// How a request's run at a target has ended, as far as other entries have to know. The values are those of the wire.
enum class run_outcome : std::uint8_t {
    not_known = 0,
    /// The target sent at least one event.
    served = 1,
    /// The target answered with an error of its own or with nothing.
    failed = 2,
};

struct run_end {
    run_outcome outcome{run_outcome::not_known};
    /// Pace that the target stated in its answer. Zero if it stated none.
    double stated_pace{0};
};

/// Reserves memory and a slot with the agent beside an engine before a request is sent to the engine.
class reservation_client {
public:
    reservation_client(boost::asio::io_context& context, link::hub& hub, agent_directory& agents);

    boost::asio::awaitable<reservation_reply> reserve(std::string engine_address, wire::schema::PlaceRequestT message);
    /// Ends the wait for an answer about the request. Without effect if the agent has answered.
    void stop_waiting(std::string const& request);
    /// Ends the reservation of a request that is no longer at the engine or was never sent to it.
    void release(std::string const& engine_address, std::string const& request, run_end const& end = {});

private:
    struct pending_reservation {
        boost::asio::steady_timer* timer;
        reservation_reply reply;
    };

    boost::asio::io_context& context_;
    agent_directory& agents_;
    /// Request id to the reservation that the agent has not answered.
    std::map<std::string, pending_reservation*> pending_;
};

} // namespace cyclamenledge::forwarding_entry
