#pragma once

#include "entry/call_exchange.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::entry {

/// Leads an idempotent call to its answer: over several targets when attempts fail, and over two at once when the
/// first one is slow.
class call_session : public call_exchange {
public:
    call_session(process::runtime& daemon, blackboard& board, agent_links& links, caller from, plain_call call,
                 http::session_pointer client);

    boost::asio::awaitable<void> run() override;

private:
    /// An attempt that waits for its answer.
    struct pending {
        std::string target;
        base::time_point sent_at{};
        std::unique_ptr<attempt> open;
    };
    using event_action = boost::asio::awaitable<void> (call_session::*)(attempt_event&);

    /// False when no target could take the attempt; failure_ then holds the reason.
    bool start_attempt();
    std::optional<std::string> route();
    boost::asio::awaitable<void> handle(attempt_event& event);
    boost::asio::awaitable<void> on_answer(attempt_event& event);
    boost::asio::awaitable<void> on_lost(attempt_event& event);
    boost::asio::awaitable<void> on_deadline(attempt_event& event);
    boost::asio::awaitable<void> on_gone(attempt_event& event);
    boost::asio::awaitable<void> on_timer(attempt_event& event);
    boost::asio::awaitable<void> ignore(attempt_event& event);
    boost::asio::awaitable<void> after_failure(base::error cause);
    boost::asio::awaitable<void> finish(base::error failure);
    void watch_hedge();
    retry::pending_call waiting(base::time_point sent_at) const;
    void report(pending const& ended, routing::attempt_outcome outcome);
    void abandon();

    std::map<std::uint64_t, pending> pending_;
    std::vector<std::string> tried_;
    base::error failure_;
    boost::asio::steady_timer hedge_timer_;
    std::uint32_t attempts_{0};
    bool hedged_{false};
    bool finished_{false};
};

} // namespace cyclamenledge::entry
