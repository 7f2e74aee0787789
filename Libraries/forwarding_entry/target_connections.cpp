#include "forwarding_entry/target_connections.h"

#include "network/endpoint.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace {

// Idle time after which a connection is closed, when the target does not name its own.
constexpr base::milliseconds default_idle{4000};
// A target counts from its last byte, which left before this process saw it.
constexpr base::milliseconds idle_margin{600};
constexpr std::size_t most_idle_per_target = 16;

} // namespace

http::awaitable_result<http::upstream_pointer>
target_connections::acquire(std::string address, base::milliseconds connect_timeout, base::milliseconds longest_idle) {
    auto const now = base::clock::now();
    auto& kept = idle_[address];
    while (!kept.empty()) {
        // The newest connection is the least likely one to have been closed by the target.
        auto candidate = std::move(kept.back());
        kept.pop_back();
        if (now < candidate.until && now - candidate.since <= longest_idle && candidate.connection->quiet())
            co_return candidate.connection;
        candidate.connection->close();
    }
    BOOST_OUTCOME_CO_TRY(auto const endpoint, network::parse_endpoint(address));
    http::upstream_pointer opened{new http::upstream_connection{executor_, endpoint}};
    BOOST_OUTCOME_CO_TRYV(co_await opened->connect(connect_timeout));
    co_return opened;
}

void target_connections::release(std::string const& address, http::upstream_pointer connection,
                                 std::optional<base::seconds> idle_timeout) {
    auto& kept = idle_[address];
    if (!connection->reusable() || !connection->quiet() || kept.size() >= most_idle_per_target) {
        connection->close();
        return;
    }
    auto const now = base::clock::now();
    auto const longest = idle_timeout ? base::milliseconds{*idle_timeout} - idle_margin : default_idle;
    kept.push_back({std::move(connection), now, now + longest});
}

void target_connections::expire(base::time_point now) {
    for (auto& [address, kept] : idle_) {
        std::erase_if(kept, [&](auto& item) {
            if (now < item.until)
                return false;
            item.connection->close();
            return true;
        });
    }
    std::erase_if(idle_, [](auto const& entry) { return entry.second.empty(); });
}

std::size_t target_connections::idle() const {
    std::size_t count = 0;
    for (auto const& [address, kept] : idle_)
        count += kept.size();
    return count;
}

} // namespace cyclamenledge::forwarding_entry
