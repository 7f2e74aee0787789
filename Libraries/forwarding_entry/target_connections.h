#pragma once

#include "http/upstream_connection.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// Pool of connections to targets that are reused between requests.
class target_connections {
public:
    /// Six times the round trip to the furthest region. TCP retransmits a lost SYN only after a second, so another
    /// target is the better choice.
    static constexpr base::milliseconds connect_timeout{300};

    explicit target_connections(boost::asio::any_io_executor executor)
        : executor_(std::move(executor)) {}

    /// Returns a usable connection that was idle for at most the given time and has not carried a request of that name,
    /// or opens one. On a connection that has, a target that writes an earlier answer once more would answer the second
    /// request with it. The name of a request is its id, and calls without an id share one. After a failure nothing was
    /// sent.
    http::awaitable_result<http::upstream_pointer> acquire(std::string address, std::string request,
                                                           base::milliseconds connect_timeout,
                                                           base::milliseconds maximum_idle);
    /// A connection that has not carried a request of that name, however long it was idle. Null if there is none. The
    /// target may be about to close it.
    http::upstream_pointer take_any_idle(std::string const& address, std::string const& request);
    /// Whether an idle connection to the target is open, so that the process which accepted it lives.
    bool any_open(std::string const& address);
    /// Returns the connection to the pool, or closes it if its last answer rules out reuse or the pool is full.
    void release(std::string const& address, http::upstream_pointer connection,
                 std::optional<base::seconds> idle_timeout);
    /// Closes connections whose idle timeout at the target is about to pass.
    void expire(base::time_point now);
    std::size_t idle_count() const;

private:
    struct idle_connection {
        http::upstream_pointer connection;
        base::time_point idle_since;
        base::time_point close_at;
    };
    using idle_pool = std::vector<idle_connection>;

    /// Null when none is usable. Closes those that are not.
    static http::upstream_pointer take_idle(idle_pool& pool, std::string_view request, base::milliseconds maximum_idle);

    boost::asio::any_io_executor executor_;
    std::map<std::string, idle_pool, std::less<>> idle_;
};

} // namespace cyclamenledge::forwarding_entry
