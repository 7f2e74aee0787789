#include "forwarding_entry/target_connections.h"

#include "network/endpoint.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace {

// Idle timeout of connections to targets that announce none.
constexpr base::milliseconds default_idle_timeout{4000};
// A target measures idle time from its last byte, which it sent before this process received it.
constexpr base::milliseconds idle_margin{600};
constexpr std::size_t maximum_idle_per_target = 16;

} // namespace

http::awaitable_result<http::upstream_pointer> target_connections::acquire(std::string address, std::string request,
                                                                           base::milliseconds connect_timeout,
                                                                           base::milliseconds maximum_idle) {
    if (auto kept = take_idle(idle_[address], request, maximum_idle)) {
        kept->add_request_name(request);
        co_return kept;
    }
    BOOST_OUTCOME_CO_TRY(auto const endpoint, network::parse_endpoint(address));
    http::upstream_pointer opened{new http::upstream_connection{executor_, endpoint}};
    BOOST_OUTCOME_CO_TRYV(co_await opened->connect(connect_timeout));
    opened->add_request_name(request);
    co_return opened;
}

http::upstream_pointer target_connections::take_any_idle(std::string const& address, std::string const& request) {
    auto kept = take_idle(idle_[address], request, base::milliseconds::max());
    if (kept)
        kept->add_request_name(request);
    return kept;
}

bool target_connections::any_open(std::string const& address) {
    auto const pool = idle_.find(address);
    return pool != idle_.end() &&
           std::ranges::any_of(pool->second, [](auto const& idle) { return idle.connection->quiet(); });
}

http::upstream_pointer target_connections::take_idle(idle_pool& pool, std::string_view request,
                                                     base::milliseconds maximum_idle) {
    auto const now = base::clock::now();
    // The target is least likely to have closed the connection that was used last.
    for (auto position = pool.size(); position-- > 0;) {
        auto const found = pool.begin() + static_cast<std::ptrdiff_t>(position);
        if (found->connection->has_request_name(request))
            continue;
        auto const candidate = std::move(*found);
        pool.erase(found);
        if (now < candidate.close_at && now - candidate.idle_since <= maximum_idle && candidate.connection->quiet())
            return candidate.connection;
        candidate.connection->close();
    }
    return nullptr;
}

void target_connections::release(std::string const& address, http::upstream_pointer connection,
                                 std::optional<base::seconds> idle_timeout) {
    auto& pool = idle_[address];
    if (!connection->reusable() || !connection->quiet() || pool.size() >= maximum_idle_per_target) {
        connection->close();
        return;
    }
    auto const now = base::clock::now();
    auto const idle_limit = idle_timeout ? base::milliseconds{*idle_timeout} - idle_margin : default_idle_timeout;
    pool.push_back({std::move(connection), now, now + idle_limit});
}

void target_connections::expire(base::time_point now) {
    for (auto& [address, pool] : idle_) {
        std::erase_if(pool, [&](auto& idle) {
            // Bytes that nobody asked for would stay in the memory of the kernel.
            if (now < idle.close_at && idle.connection->quiet())
                return false;
            idle.connection->close();
            return true;
        });
    }
    std::erase_if(idle_, [](auto const& entry) { return entry.second.empty(); });
}

std::size_t target_connections::idle_count() const {
    std::size_t count = 0;
    for (auto const& [address, pool] : idle_)
        count += pool.size();
    return count;
}

} // namespace cyclamenledge::forwarding_entry
