#pragma once

#include "base/error.h"
#include "stream/token_window.h"
#include "wire/generated/wire_generated.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <variant>

namespace cyclamenledge::entry {

/// The connection that carried an attempt was lost.
struct connection_lost {
    base::error reason;
};

struct deadline_passed {};
struct caller_gone {};
/// A timer that the waiting session has set has expired.
struct timer_expired {};

using event_content = std::variant<wire::schema::AdmittedT, wire::schema::RefusedT, wire::schema::TokensT,
                                   wire::schema::GenerationEndT, wire::schema::CallAnswerT, wire::schema::KeyStateT,
                                   connection_lost, deadline_passed, caller_gone, timer_expired>;

/// Something that a request waits for. Zero stands for no particular attempt.
struct attempt_event {
    std::uint64_t attempt{0};
    event_content content;
};

/// Carries events from links and timers to the session that waits for them. Events may be sent from any thread.
class mailbox : public boost::intrusive_ref_counter<mailbox> {
public:
    explicit mailbox(boost::asio::any_io_executor const& executor)
        : channel_(executor, capacity) {}

    /// False when the peer has sent more than flow control allows.
    bool deliver(std::uint64_t attempt, event_content content);
    boost::asio::awaitable<attempt_event> receive();

private:
    // A window of tokens in frames of one each, and room for what ends a stream.
    static constexpr std::size_t capacity = stream::window_tokens + 32;

    boost::asio::experimental::concurrent_channel<void(boost::system::error_code, attempt_event)> channel_;
};

using mailbox_pointer = boost::intrusive_ptr<mailbox>;

} // namespace cyclamenledge::entry
