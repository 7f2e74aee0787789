#pragma once

#include "entry/agent_links.h"
#include "entry/attempt.h"
#include "entry/blackboard.h"
#include "entry/caller.h"
#include "entry/plain_call.h"
#include "http/session.h"
#include "process/runtime.h"

#include <boost/asio/steady_timer.hpp>

namespace cyclamenledge::entry {

/// What both kinds of plain calls share: the caller, its deadline and its answer.
class call_exchange {
public:
    call_exchange(process::runtime& daemon, blackboard& board, agent_links& links, caller from, plain_call call,
                  http::session_pointer client);
    call_exchange(call_exchange const&) = delete;
    call_exchange& operator=(call_exchange const&) = delete;
    virtual ~call_exchange() = default;

    virtual boost::asio::awaitable<void> run() = 0;
    /// Called on the executor of the session when the caller has closed its connection.
    void on_caller_gone();

protected:
    void watch_deadline();
    void stop_watching() { deadline_timer_.cancel(); }
    bool expired() const { return base::clock::now() >= deadline_; }
    wire::schema::SubmitCallT make_submit() const;
    boost::asio::awaitable<void> answer(http::response response);
    boost::asio::awaitable<void> fail(base::error failure);
    void drop_answer(attempt_event const& event);

    // NOLINTBEGIN(*-non-private-member-variables-in-classes): shared by the two kinds of calls only.
    process::runtime& daemon_;
    blackboard& board_;
    agent_links& links_;
    caller caller_;
    plain_call call_;
    http::session_pointer client_;
    mailbox_pointer mailbox_;
    base::time_point deadline_;
    base::time_point started_at_;
    bool gone_{false};
    // NOLINTEND(*-non-private-member-variables-in-classes)

private:
    boost::asio::steady_timer deadline_timer_;
};

/// The error that an agent has put into an answer.
template <class Message>
base::error error_in(Message const& message) {
    auto const kind = message.error < base::error_kind_count ? static_cast<base::error_kind>(message.error)
                                                             : base::error_kind::internal;
    base::error result = base::make_error(kind, message.message);
    if (message.retry_after_ms > 0)
        result.retry_after = base::milliseconds{message.retry_after_ms};
    return result;
}

} // namespace cyclamenledge::entry
