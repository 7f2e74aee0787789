#pragma once

#include "entry/limit_state.h"
#include "entry/limit_ticket.h"
#include "process/runtime.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>

#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cyclamenledge::entry {

/// Holds organisations to their limits before their requests are routed, and exchanges credit with home entries.
class limit_controller {
public:
    limit_controller(process::runtime& daemon, guarded_limits& table);

    /// Registers for frames and starts to renew credit. Called once, before the first connection.
    void start();
    void set_catalogue(catalogue::catalogue_pointer const& published);

    /// Waits at most longest_wait for credit. Fails with organisation_limit and the time to come back. Called on the
    /// given executor, which must be a strand.
    boost::asio::awaitable<base::result<limit_ticket_pointer>>
    admit(std::string organisation, std::optional<base::time_point> deadline, boost::asio::any_io_executor executor);
    void charge_tokens(std::string const& organisation, std::uint64_t count);
    void release(std::string const& organisation);
    boost::json::object state() const;

    /// One unanswered ask and one further interval. A longer wait costs the caller more than coming back later.
    static constexpr base::milliseconds longest_wait =
        limits::organisation_limiter::answer_timeout + limits::request_interval;

private:
    /// A request that waits for a grant.
    struct waiting_request : boost::intrusive_ref_counter<waiting_request> {
        explicit waiting_request(boost::asio::any_io_executor const& executor)
            : timer(executor) {}
        boost::asio::steady_timer timer;
    };
    using waiting_pointer = boost::intrusive_ptr<waiting_request>;

    boost::asio::awaitable<void> renew_credit();
    void send_asks(std::vector<limits::credit_request> const& asks, base::time_point now);
    void ask_home(std::string const& home, std::span<limits::credit_request const> asks, base::time_point now);
    void on_request(link::connection& source, wire::schema::CreditRequestT const& message);
    void on_grant(wire::schema::CreditGrantT const& message);
    void take_grants(std::span<limits::credit_grant const> grants, base::time_point now);
    link::connection_pointer connect_home(std::string const& home, base::time_point now);
    void drop_idle_links(base::time_point now);
    void wake(std::string const& organisation);
    limits::limit_decision decide(std::string const& organisation, limits::offer_kind offer);

    process::runtime& daemon_;
    guarded_limits& table_;
    boost::asio::steady_timer renewal_timer_;
    // Leaf lock: no other lock is taken while it is held.
    mutable std::mutex mutex_;
    catalogue::catalogue_pointer catalogue_;
    std::multimap<std::string, waiting_pointer, std::less<>> waiting_;
    /// When credit was last asked for over a link that this controller opened.
    std::map<std::string, base::time_point> home_links_;
    std::map<std::string, base::time_point> logged_at_;
};

} // namespace cyclamenledge::entry
