#include "link/outbound_link.h"

#include "base/random.h"
#include "link/handshake.h"
#include "log/logger.h"
#include "network/endpoint.h"
#include "network/socket_deadline.h"
#include "retry/backoff.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenledge::link {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds connect_timeout{2000};
constexpr base::milliseconds initial_backoff{100};
constexpr base::milliseconds maximum_backoff{2000};
constexpr std::uint32_t maximum_counted_failures = 16;

} // namespace

outbound_link::outbound_link(hub& owner, std::string peer, std::string address)
    : hub_session(owner)
    , peer_(std::move(peer))
    , address_(std::move(address))
    , strand_(asio::make_strand(owner.context()))
    , change_timer_(strand_) {}

void outbound_link::start() {
    asio::co_spawn(strand_, maintain_connection(self_pointer{this}), asio::detached);
}

void outbound_link::stop() {
    connection_pointer ended;
    {
        std::scoped_lock const lock{mutex_};
        stopped_ = true;
        ended = std::exchange(current_, nullptr);
    }
    if (ended)
        ended->close(base::make_error(base::error_kind::link_lost, "the link is no longer needed"));
    asio::post(strand_, [self = self_pointer{this}] { self->change_timer_.cancel(); });
}

bool outbound_link::stopped() const {
    std::scoped_lock const lock{mutex_};
    return stopped_;
}

bool outbound_link::connected() const {
    std::scoped_lock const lock{mutex_};
    return current_ != nullptr;
}

bool outbound_link::accepts_peer(std::string const& process) const {
    return peer_.empty() ? process != owner().self().process : process == peer_;
}

asio::awaitable<void> outbound_link::maintain_connection(self_pointer) {
    base::random_source random{base::random_seed()};
    retry::backoff const reconnect_backoff{initial_backoff, maximum_backoff};
    std::uint32_t failures = 0;
    while (!stopped()) {
        bool const opened = co_await open_connection();
        failures = opened ? 0 : std::min(failures + 1, maximum_counted_failures);
        if (failures > 0)
            co_await wait_for_change(reconnect_backoff.delay(failures, random));
        while (connected() && !stopped())
            co_await wait_for_change(membership::heartbeat_interval);
    }
}

asio::awaitable<void> outbound_link::wait_for_change(base::duration maximum_wait) {
    change_timer_.expires_after(maximum_wait);
    co_await change_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<bool> outbound_link::open_connection() {
    auto const endpoint = network::parse_endpoint(address_);
    if (!endpoint)
        co_return false;
    auto const executor = asio::make_strand(owner().context());
    tcp::socket socket{executor};
    // This coroutine runs on strand_ too.
    network::socket_deadline deadline{strand_, socket, connect_timeout};
    auto [code] = co_await socket.async_connect(endpoint.value(), asio::as_tuple(asio::use_awaitable));
    if (code)
        co_return false;
    auto peer = co_await connect_handshake(socket, owner().authenticator(), owner().self());
    if (!deadline.lift())
        co_return false;
    if (!peer || !accepts_peer(peer.value().process)) {
        log::write(log::event_kind::link_refused,
                   {{"peer", peer_.empty() ? address_ : peer_},
                    {"reason", peer ? "another process answers at this address" : peer.error().message}});
        co_return false;
    }
    connection_pointer const opened{
        new connection{std::move(socket), peer.value(), handler_pointer{this}, owner().metrics()}};
    {
        std::scoped_lock const lock{mutex_};
        if (stopped_)
            co_return false;
        current_ = opened;
    }
    opened->start();
    co_return true;
}

void outbound_link::on_closed(connection& source, base::error const& reason) {
    hub_session::on_closed(source, reason);
    {
        std::scoped_lock const lock{mutex_};
        if (current_.get() == &source)
            current_.reset();
    }
    asio::post(strand_, [self = self_pointer{this}] { self->change_timer_.cancel(); });
}

} // namespace cyclamenledge::link
