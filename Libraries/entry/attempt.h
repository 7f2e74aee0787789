#pragma once

#include "base/guarded.h"
#include "entry/mailbox.h"
#include "link/connection.h"
#include "stream/attempt_table.h"

#include <atomic>

namespace cyclamenledge::entry {

using guarded_attempts = base::guarded<stream::attempt_table, base::lock_rank::streams>;

/// One attempt of a request at one target. It is open from its construction to its destruction.
class attempt : public stream::open_attempt {
public:
    attempt(guarded_attempts& table, link::connection_pointer connection, mailbox_pointer receiver);
    ~attempt();
    attempt(attempt const&) = delete;
    attempt& operator=(attempt const&) = delete;

    std::uint64_t number() const { return identity().attempt; }
    link::connection& connection() { return *connection_; }
    mailbox& receiver() { return *receiver_; }

private:
    guarded_attempts& table_;
    link::connection_pointer connection_;
    mailbox_pointer receiver_;
};

} // namespace cyclamenledge::entry
