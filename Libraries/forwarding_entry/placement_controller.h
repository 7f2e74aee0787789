#pragma once

#include "base/result.h"
#include "forwarding_entry/blackboard.h"
#include "forwarding_entry/place_client.h"
#include "forwarding_entry/placement_need.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// Gives requests to targets, and keeps those that find no room waiting in order.
class placement_controller {
public:
    placement_controller(boost::asio::io_context& context, blackboard& board, place_client& places)
        : context_(context)
        , board_(board)
        , places_(places) {}

    /// The id of the target. The request is then counted there until release is called.
    boost::asio::awaitable<base::result<std::string>> place(placement_need need);
    void release(std::string const& target, std::string const& request);

    /// How a request on a target ended.
    void record_outcome(std::string const& target, forwarding::target_outcome outcome);

    /// Room may have appeared.
    void on_capacity_change();

private:
    struct choice {
        forwarding::placement placed;
        /// Counts the request at the target until the reports of its agent do.
        std::uint64_t promise{0};
    };
    struct waiter {
        waiter(boost::asio::io_context& context, placement_need& wanted)
            : timer(context)
            , need(&wanted) {}
        boost::asio::steady_timer timer;
        placement_need* need;
        std::optional<choice> given;
    };

    /// Chooses by what this process knows and counts the request there. No value when the request has to wait.
    std::optional<choice> choose(placement_need& need, base::time_point now);
    /// Whether the agent beside the chosen engine agrees, which knows what other entries have placed.
    boost::asio::awaitable<bool> confirm(placement_need& need, choice chosen);
    boost::asio::awaitable<std::optional<choice>> place_now(placement_need& need);
    boost::asio::awaitable<base::result<std::string>> wait(placement_need& need, std::uint64_t number);
    base::error refusal(placement_need const& need, std::string_view reason) const;

    boost::asio::io_context& context_;
    blackboard& board_;
    place_client& places_;
    std::map<std::uint64_t, waiter*> waiters_;
    std::uint64_t next_number_{1};
};

} // namespace cyclamenledge::forwarding_entry
