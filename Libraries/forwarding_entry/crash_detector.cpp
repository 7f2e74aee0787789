#include "forwarding_entry/crash_detector.h"

#include "http/upstream_connection.h"
#include "log/logger.h"
#include "network/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

// Several round trips to the furthest region.
constexpr base::milliseconds probe_timeout{300};
// A target that is restarted at once accepts connections, and is recognised by the announcement of its new incarnation.
constexpr base::milliseconds announcement_check_interval{500};
constexpr int announcement_checks = 4;

} // namespace

void crash_detector::examine(std::string const& target, lost_run run) {
    auto const [found, inserted] = examinations_.try_emplace(target);
    found->second.push_back(std::move(run));
    if (inserted)
        asio::co_spawn(context_, conclude(target), asio::detached);
}

asio::awaitable<void> crash_detector::conclude(std::string target) {
    auto const* view = board_.fleet.find(target);
    bool crashed = false;
    // A target that has announced its end closes its connections as planned.
    if (view != nullptr && !view->leaving(base::clock::now())) {
        crashed = co_await refuses_connections(target);
        if (!crashed)
            crashed = co_await was_replaced(target);
    }
    auto const concluded = examinations_.extract(target);
    if (!crashed)
        co_return;
    for (auto const& run : concluded.mapped())
        log::write(log::event_kind::target_crashed,
                   {{"request", run.request}, {"fingerprint", run.fingerprint}, {"target", target}});
}

asio::awaitable<bool> crash_detector::refuses_connections(std::string const& target) {
    auto const endpoint = network::parse_endpoint(board_.fleet.find(target)->record.address);
    if (!endpoint)
        co_return false;
    http::upstream_pointer const probe{new http::upstream_connection{context_.get_executor(), endpoint.value()}};
    auto const connected = co_await probe->connect(probe_timeout);
    probe->close();
    co_return !connected && connected.error().kind == base::error_kind::link_lost;
}

asio::awaitable<bool> crash_detector::was_replaced(std::string const& target) {
    asio::steady_timer timer{context_};
    for (int check = 0; check < announcement_checks; ++check) {
        timer.expires_after(announcement_check_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (board_.fleet.replaced(target))
            co_return true;
    }
    co_return false;
}

} // namespace cyclamenledge::forwarding_entry
