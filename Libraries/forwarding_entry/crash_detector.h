#pragma once

#include "base/time.h"
#include "forwarding_entry/blackboard.h"
#include "forwarding_entry/run_witness_client.h"
#include "forwarding_entry/target_connections.h"
#include "poison/request_content.h"
#include "poison_control/poison_controller.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// A request whose target ended the connection before the end of its answer.
struct lost_run {
    std::string request;
    poison::request_content content;
    base::time_point sent_at{};
    base::time_point lost_at{};
    /// Events of the answer that had arrived.
    std::uint64_t events{0};
    /// The target had written the answer for longer than a prompt needs to crash it.
    bool prompt_is_sound{false};
};

/// Tells crashes of targets from connections that only broke, and records a crash for each request that ran there. A
/// target has crashed if its address belongs to another incarnation, or refuses connections while neither an open
/// connection nor the target's agent shows that it lives, and it had not announced that it leaves.
class crash_detector {
public:
    crash_detector(boost::asio::io_context& context, blackboard const& board,
                   poison_control::poison_controller& suspects, target_connections& connections,
                   run_witness_client& witnesses)
        : context_(context)
        , board_(board)
        , suspects_(suspects)
        , connections_(connections)
        , witnesses_(witnesses) {}

    /// Examines the target. Waits for the verdict if the request or a part of its prompt has a crash record already,
    /// because another one may decide whether the request may be sent again; otherwise returns at once.
    boost::asio::awaitable<void> examine(std::string target, lost_run run);

private:
    /// The requests that wait for the verdict and the coroutine that finds it share the examination, because either may
    /// end first.
    struct examination : public boost::intrusive_ref_counter<examination, boost::thread_unsafe_counter> {
        explicit examination(boost::asio::io_context& context)
            : verdict(context, base::time_point::max()) {}
        std::vector<lost_run> runs;
        /// Has expired once it is known whether the target refuses connections.
        boost::asio::steady_timer verdict;
    };
    using examination_pointer = boost::intrusive_ptr<examination>;

    boost::asio::awaitable<void> conclude(std::string target, examination_pointer examined);
    void record(std::string const& target, forwarding::target_record const& lost, lost_run const& run);
    /// Whether the target refuses connections, and nothing shows that it lives.
    boost::asio::awaitable<bool> has_ended(forwarding::target_record lost);
    boost::asio::awaitable<bool> refuses_connections(std::string address);
    boost::asio::awaitable<bool> is_replaced(forwarding::target_record lost);

    boost::asio::io_context& context_;
    blackboard const& board_;
    poison_control::poison_controller& suspects_;
    target_connections& connections_;
    run_witness_client& witnesses_;
    /// By target, so that requests lost together cause one examination.
    std::map<std::string, examination_pointer> examinations_;
};

} // namespace cyclamenledge::forwarding_entry
