#pragma once

#include "entry/call_exchange.h"

#include <optional>
#include <string>

namespace cyclamenledge::entry {

/// Leads a non-idempotent call to its answer. It is sent once, to the owner of its key; whatever is lost afterwards is
/// asked for by the key.
class keyed_call_session : public call_exchange {
public:
    using call_exchange::call_exchange;

    boost::asio::awaitable<void> run() override;

private:
    enum class step { finished, submit, query };
    using event_action = boost::asio::awaitable<std::optional<step>> (keyed_call_session::*)(attempt_event&);

    boost::asio::awaitable<step> submit();
    boost::asio::awaitable<step> query();
    boost::asio::awaitable<step> follow(attempt& current);
    boost::asio::awaitable<std::optional<step>> on_call_answer(attempt_event& event);
    boost::asio::awaitable<std::optional<step>> on_key_state(attempt_event& event);
    boost::asio::awaitable<std::optional<step>> on_lost(attempt_event& event);
    boost::asio::awaitable<std::optional<step>> on_deadline(attempt_event& event);
    boost::asio::awaitable<std::optional<step>> on_gone(attempt_event& event);
    boost::asio::awaitable<std::optional<step>> ignore(attempt_event& event);
    template <class Message>
    boost::asio::awaitable<std::optional<step>> take(attempt_event& event);
    boost::asio::awaitable<link::connection_pointer> wait_for_owner();
    boost::asio::awaitable<step> refuse(base::error cause);
    boost::asio::awaitable<step> give_up();
    std::optional<http::response> remembered_answer() const;
    std::optional<base::error> choose_owner();
    bool note_sent(link::connection const& connection);
    bool note_outcome(once::key_state outcome, once::call_answer answer);

    std::string owner_;
    std::string tracked_;
    std::uint64_t incarnation_{0};
};

} // namespace cyclamenledge::entry
