#pragma once

#include "base/random.h"
#include "forwarding_entry/agent_directory.h"
#include "forwarding_entry/blackboard.h"
#include "link/hub.h"
#include "metrics/registry.h"
#include "platform/request_headers.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// Keeps the limits that targets name in their answers, and requests the permits to send to targets with a bounded rate
/// from the agents that issue them.
class permit_controller {
public:
    permit_controller(boost::asio::io_context& context, link::hub& hub, blackboard& board, agent_directory& agents,
                      metrics::registry& metrics);

    /// The observer is called when a permit may have become usable.
    void set_observer(std::function<void()> on_change) { on_change_ = std::move(on_change); }
    /// Applies the limit that an answer of the target to the request names, or does not name.
    void on_answer(std::string const& target, std::string const& request, platform::answer_metadata const& answer);
    /// Requests permits for the target that start within the time. Returns false if its issuer cannot be asked now.
    bool request(std::string const& target, std::uint32_t wanted, base::milliseconds within);
    /// Reports requests that were sent without a permit, and lets permits expire.
    void maintain();

private:
    link::connection_pointer find_issuer(std::string const& target) const;
    void apply_answer(wire::schema::PermitAnswerT const& answer, std::string const& issuer);
    void apply_observation(wire::schema::LimitObservationT const& message, std::string const& source);
    void tell_issuer(std::string const& target);
    void log_issuer_state(std::string const& target, std::string_view reason);
    /// Calls the observer when the permits of the target next change by themselves.
    void schedule(std::string const& target);
    void on_timer();

    blackboard& board_;
    agent_directory& agents_;
    metrics::registry& metrics_;
    base::random_source random_;
    std::function<void()> on_change_;
    boost::asio::steady_timer timer_;
    std::optional<base::time_point> timer_expiry_;
    /// Targets whose issuer does not answer.
    std::set<std::string, std::less<>> unresponsive_;
};

} // namespace cyclamenledge::forwarding_entry
