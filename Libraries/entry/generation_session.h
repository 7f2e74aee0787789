#pragma once

#include "entry/agent_links.h"
#include "entry/attempt.h"
#include "entry/blackboard.h"
#include "entry/caller.h"
#include "entry/completion_request.h"
#include "entry/completion_writer.h"
#include "poison_control/poison_controller.h"
#include "process/runtime.h"
#include "stream/token_sequencer.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::entry {

/// Leads one generation from a caller's request to its end over as many attempts as it may take.
class generation_session {
public:
    generation_session(process::runtime& daemon, blackboard& board, agent_links& links,
                       poison_control::poison_controller& poison, caller from, completion_request request,
                       std::unique_ptr<completion_writer> writer, boost::asio::any_io_executor executor);

    boost::asio::awaitable<void> run();
    /// Called on the session's executor when the caller has closed its connection.
    void on_caller_gone();

private:
    enum class step { finished, next_target, resume };
    using event_action = boost::asio::awaitable<std::optional<step>> (generation_session::*)(attempt&, attempt_event&);

    boost::asio::awaitable<step> attempt_once();
    boost::asio::awaitable<step> attempt_resume();
    boost::asio::awaitable<step> follow(attempt& current);
    boost::asio::awaitable<std::optional<step>> handle(attempt& current, attempt_event& event);
    boost::asio::awaitable<std::optional<step>> on_admitted(attempt& current, attempt_event& event);
    boost::asio::awaitable<std::optional<step>> on_refused(attempt& current, attempt_event& event);
    boost::asio::awaitable<std::optional<step>> on_tokens(attempt& current, attempt_event& event);
    boost::asio::awaitable<std::optional<step>> on_end(attempt& current, attempt_event& event);
    boost::asio::awaitable<std::optional<step>> on_lost(attempt& current, attempt_event& event);
    boost::asio::awaitable<std::optional<step>> on_deadline(attempt& current, attempt_event& event);
    boost::asio::awaitable<std::optional<step>> on_gone(attempt& current, attempt_event& event);
    boost::asio::awaitable<std::optional<step>> ignore(attempt& current, attempt_event& event);
    boost::asio::awaitable<step> recover(attempt& current, base::error cause, bool generation_lost);
    boost::asio::awaitable<step> fail(base::error failure);

    routing::route_decision route();
    void send_submit(attempt& current);
    void report(routing::attempt_outcome outcome);
    void watch_deadline();
    void acknowledge(attempt& current, std::uint32_t tokens);
    void measure_tokens(std::size_t count);
    bool caller_expired() const;
    void cancel(attempt& current);

    process::runtime& daemon_;
    blackboard& board_;
    agent_links& links_;
    poison_control::poison_controller& poison_;
    caller caller_;
    completion_request request_;
    std::unique_ptr<completion_writer> writer_;
    boost::asio::any_io_executor executor_;
    boost::asio::steady_timer deadline_timer_;
    mailbox_pointer mailbox_;

    std::uint64_t prefix_{0};
    /// The same for every request of the organisation with the same service and content.
    std::uint64_t fingerprint_{0};
    std::string target_;
    std::vector<std::string> tried_;
    std::uint32_t attempts_{0};
    base::time_point started_at_;
    base::time_point attempt_started_at_{};
    base::time_point last_token_at_{};
    bool target_open_{false};
    bool gone_{false};

    /// Name of the generation at the engine; empty before it was admitted.
    std::string generation_;
    std::uint64_t generation_count_{0};
    stream::token_sequencer sequencer_{0};
    stream::credit_return credit_;
};

} // namespace cyclamenledge::entry
