#pragma once

#include "forwarding_entry/entry_parts.h"
#include "forwarding_entry/request_context.h"
#include "http/server.h"
#include "process/runtime.h"

#include <functional>

namespace cyclamenledge::forwarding_entry {

/// Finds the route of a caller's request and starts the exchange that serves it.
class forwarder : public http::request_handler {
public:
    /// is_current returns whether the active configuration is known to be the newest one.
    forwarder(process::runtime& daemon, entry_parts& parts, std::function<bool()> is_current)
        : daemon_(daemon)
        , parts_(parts)
        , is_current_(std::move(is_current)) {}

    boost::asio::awaitable<void> handle(http::session_pointer client, http::request received) override;

    /// Time before the end of a planned stop in which no request is served, so that final answers can be sent.
    static constexpr base::milliseconds stop_answer_reserve{200};

private:
    base::result<request_context> prepare(http::session_pointer const& client, http::request received);
    base::error refuse_unknown(base::error_kind kind, std::string message) const;
    /// Moves the deadline of a call to the end of a planned stop, so that its answer is sent before. Returns false if
    /// the time that is left is shorter than the route's latency objective.
    bool limit_to_stop(request_context& request) const;
    boost::asio::awaitable<void> refuse_leaving(http::session_pointer client, std::string request);
    std::string const& choose_service(forwarding::route const& route);

    process::runtime& daemon_;
    entry_parts& parts_;
    std::function<bool()> is_current_;
};

} // namespace cyclamenledge::forwarding_entry
