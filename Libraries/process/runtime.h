#pragma once

#include "base/result.h"
#include "base/time.h"
#include "link/hub.h"
#include "link/peer_identity.h"
#include "membership/drain_controller.h"
#include "metrics/registry.h"
#include "process/blackboard.h"
#include "settings/settings.h"
#include "wire/authenticator.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json/object.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenledge::process {

/// What a drain does with the connections of callers.
struct drain_steps {
    std::function<void()> refuse_connections;
    /// Ends the connections that wait for a request.
    std::function<void()> end_sessions;
    /// Number of connections that have not ended.
    std::function<std::uint32_t()> open_sessions;
};

/// Services that every daemon has: the event loop and its threads, settings, identity, metrics and the graceful
/// shutdown.
class runtime {
public:
    static base::result<std::unique_ptr<runtime>> create(settings::process_settings settings);

    boost::asio::io_context& context() { return context_; }
    settings::process_settings const& settings() const { return settings_; }
    link::peer_identity const& identity() const { return identity_; }
    wire::authenticator const& authenticator() const { return authenticator_; }
    metrics::registry& metrics() { return metrics_; }
    /// Connections to other processes.
    link::hub& hub() { return hub_; }
    blackboard& board() { return board_; }
    /// Adds a named part of the state dump. Must be called before the event loop runs.
    void add_state(std::string name, std::function<boost::json::object()> dump) {
        state_parts_.emplace_back(std::move(name), std::move(dump));
    }
    boost::json::object state() const;
    base::time_point started_at() const { return started_at_; }
    base::wall_time started_wall() const { return started_wall_; }

    /// Counts a request, for whose end a drain waits. Returns false if the request must be refused.
    bool begin_request();
    /// The same for a request that ends soon. It is refused only once the drain has finished.
    bool begin_short_request();
    void end_request();
    /// Number of requests that have not ended.
    std::uint64_t open_requests() const;
    membership::drain_state drain_state() const;

    /// When open requests are aborted. No value unless the process drains and has a limit for that.
    std::optional<base::time_point> aborts_at() const;

    /// Runs the event loop until the process has drained.
    void run(drain_steps steps);

private:
    runtime(settings::process_settings settings, wire::authenticator authenticator);

    boost::asio::awaitable<void> ignore_reload_signals();
    boost::asio::awaitable<void> run_drain(drain_steps steps);
    /// Waits until the callers' connections have ended, within limits.
    boost::asio::awaitable<void> finish_sessions(drain_steps steps);

    settings::process_settings settings_;
    wire::authenticator authenticator_;
    link::peer_identity identity_;
    metrics::registry metrics_;
    base::time_point started_at_{base::clock::now()};
    base::wall_time started_wall_;
    // Declared before the event loop, whose coroutines end requests when it is destroyed.
    // Leaf lock: no other lock is taken while it is held.
    mutable std::mutex drain_mutex_;
    membership::drain_controller drain_;
    boost::asio::io_context context_;
    link::hub hub_;
    blackboard board_;
    std::vector<std::pair<std::string, std::function<boost::json::object()>>> state_parts_;
    boost::asio::signal_set signals_;
    boost::asio::signal_set reload_signals_;
};

/// Calls end_request() when it goes out of scope.
class request_guard {
public:
    explicit request_guard(runtime& owner)
        : owner_(&owner) {}
    request_guard(request_guard&& other) noexcept
        : owner_(std::exchange(other.owner_, nullptr)) {}
    request_guard(request_guard const&) = delete;
    request_guard& operator=(request_guard const&) = delete;
    request_guard& operator=(request_guard&&) = delete;
    ~request_guard() {
        if (owner_ != nullptr)
            owner_->end_request();
    }

private:
    runtime* owner_;
};

} // namespace cyclamenledge::process
