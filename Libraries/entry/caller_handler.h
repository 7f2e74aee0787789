#pragma once

#include "base/random.h"
#include "entry/agent_links.h"
#include "entry/blackboard.h"
#include "entry/caller.h"
#include "entry/limit_controller.h"
#include "http/server.h"
#include "poison_control/poison_controller.h"
#include "process/role.h"
#include "process/runtime.h"

#include <atomic>
#include <mutex>
#include <span>

namespace cyclamenledge::entry {

/// Serves the callers' address: completions, plain services and what the balancer asks.
class caller_handler : public http::request_handler {
public:
    caller_handler(process::runtime& daemon, blackboard& board, agent_links& links, limit_controller& limits,
                   poison_control::poison_controller& poison, process::role& served)
        : daemon_(daemon)
        , board_(board)
        , links_(links)
        , limits_(limits)
        , poison_(poison)
        , role_(served) {}

    boost::asio::awaitable<void> handle(http::session_pointer client, http::request received) override;

private:
    using action = boost::asio::awaitable<void> (caller_handler::*)(http::session_pointer, http::request const&);
    enum class path_match { exact, prefix };
    struct route_row {
        std::string_view path;
        path_match match;
        action serve;
    };
    static std::span<route_row const> routes();

    boost::asio::awaitable<void> serve_health(http::session_pointer client, http::request const& received);
    boost::asio::awaitable<void> serve_readiness(http::session_pointer client, http::request const& received);
    boost::asio::awaitable<void> serve_completion(http::session_pointer client, http::request const& received);
    boost::asio::awaitable<void> serve_call(http::session_pointer client, http::request const& received);
    boost::asio::awaitable<void> serve_key_issue(http::session_pointer client, http::request const& received);
    boost::asio::awaitable<void> serve_key_inquiry(http::session_pointer client, http::request const& received);
    boost::asio::awaitable<void> refuse(http::session_pointer client, base::error reason);

    /// The caller of a plain service.
    base::result<caller> identify_for_plain(http::request const& received, std::string_view service) const;
    base::result<caller> identify(http::request const& received, std::string_view service) const;

    process::runtime& daemon_;
    blackboard& board_;
    agent_links& links_;
    limit_controller& limits_;
    poison_control::poison_controller& poison_;
    process::role& role_;
    std::atomic<std::uint64_t> next_request_{1};
    // Leaf lock: no other lock is taken while it is held.
    std::mutex random_mutex_;
    base::random_source random_{base::random_seed()};
};

} // namespace cyclamenledge::entry
