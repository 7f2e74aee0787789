#pragma once

#include "base/time.h"
#include "forwarding_entry/blackboard.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// A request whose target ended the connection before the end of its answer.
struct lost_run {
    std::string request;
    std::uint64_t fingerprint{0};
    base::time_point sent_at{};
};

/// Tells crashes of targets from connections that only broke, and logs a crash for each request that ran there. A
/// target has crashed if its address refuses connections or belongs to another incarnation, and it had not announced
/// that it leaves.
class crash_detector {
public:
    crash_detector(boost::asio::io_context& context, blackboard const& board)
        : context_(context)
        , board_(board) {}

    /// Examines the target.
    void examine(std::string const& target, lost_run run);

private:
    boost::asio::awaitable<void> conclude(std::string target);
    boost::asio::awaitable<bool> refuses_connections(std::string const& target);
    boost::asio::awaitable<bool> was_replaced(std::string const& target);

    boost::asio::io_context& context_;
    blackboard const& board_;
    /// By target, so that requests lost together cause one examination.
    std::map<std::string, std::vector<lost_run>> examinations_;
};

} // namespace cyclamenledge::forwarding_entry
