#pragma once

#include "http/upstream_connection.h"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// Connections to targets that are kept between requests.
class target_connections {
public:
    /// Six times the round trip to the furthest region. A lost opening packet is sent again only after a second, so
    /// that another target is better.
    static constexpr base::milliseconds connect_timeout{300};

    explicit target_connections(boost::asio::any_io_executor executor)
        : executor_(std::move(executor)) {}

    /// An idle connection that is still good and not older than the given time, or a new one. A failure proves that
    /// nothing was sent.
    http::awaitable_result<http::upstream_pointer> acquire(std::string address, base::milliseconds connect_timeout,
                                                           base::milliseconds longest_idle);
    /// Keeps the connection if its last answer allows that.
    void release(std::string const& address, http::upstream_pointer connection,
                 std::optional<base::seconds> idle_timeout);
    /// Closes connections that the targets are about to close.
    void expire(base::time_point now);
    std::size_t idle() const;

private:
    struct kept {
        http::upstream_pointer connection;
        base::time_point since;
        base::time_point until;
    };

    boost::asio::any_io_executor executor_;
    std::map<std::string, std::vector<kept>, std::less<>> idle_;
};

} // namespace cyclamenledge::forwarding_entry
