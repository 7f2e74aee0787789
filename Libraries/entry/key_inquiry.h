#pragma once

#include "entry/agent_links.h"
#include "entry/blackboard.h"
#include "entry/caller.h"
#include "http/session.h"
#include "once/idempotency_key.h"

namespace cyclamenledge::entry {

/// Tells a caller what became of a key. It neither runs nor seals the key.
class key_inquiry {
public:
    key_inquiry(blackboard& board, agent_links& links, caller from, once::idempotency_key key,
                boost::asio::any_io_executor executor);

    /// The state as JSON, or an error when the owner of the key does not answer in time.
    boost::asio::awaitable<http::response> run();

private:
    boost::asio::awaitable<std::optional<wire::schema::KeyStateT>> ask(std::string owner);
    http::response describe(wire::schema::KeyStateT const& state) const;

    blackboard& board_;
    agent_links& links_;
    caller caller_;
    once::idempotency_key key_;
    mailbox_pointer mailbox_;
    base::time_point deadline_;
    boost::asio::steady_timer timer_;
};

} // namespace cyclamenledge::entry
