#include "link/hub.h"

#include "link/handshake.h"
#include "link/hub_session.h"
#include "link/outbound_link.h"
#include "log/logger.h"
#include "network/endpoint.h"
#include "network/socket_deadline.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace cyclamenledge::link {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds accept_retry_delay{50};
// Bounds how long a peer that connects but sends nothing can occupy a socket.
constexpr base::seconds handshake_timeout{5};

} // namespace

hub::hub(asio::io_context& context, wire::authenticator const& authenticator, peer_identity const& self,
         metrics::registry& metrics)
    : context_(context)
    , authenticator_(authenticator)
    , self_(self)
    , metrics_(metrics)
    , acceptor_(asio::make_strand(context)) {}

hub::~hub() = default;

void hub::add_observer(hub_observer& observer) {
    std::scoped_lock const lock{mutex_};
    auto const count = observer_count_.load();
    observers_.at(count) = &observer;
    observer_count_.store(count + 1);
}

void hub::set_handler(wire::message_kind kind, frame_handler handler) {
    auto owned = std::make_unique<frame_handler const>(std::move(handler));
    handlers_.at(static_cast<std::size_t>(kind)).store(owned.get(), std::memory_order_release);
    std::scoped_lock const lock{mutex_};
    owned_handlers_.push_back(std::move(owned));
}

base::result<void> hub::listen(std::string const& address) {
    BOOST_OUTCOME_TRYV(network::open_acceptor(acceptor_, address));
    asio::co_spawn(acceptor_.get_executor(), accept_connections(), asio::detached);
    return base::success();
}

void hub::stop_accepting() {
    stopping_ = true;
    asio::post(acceptor_.get_executor(), [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    });
}

asio::awaitable<void> hub::accept_connections() {
    while (!stopping_) {
        auto [code, socket] =
            co_await acceptor_.async_accept(asio::make_strand(context_), asio::as_tuple(asio::use_awaitable));
        if (code && stopping_)
            co_return;
        if (code) {
            asio::steady_timer timer{acceptor_.get_executor(), accept_retry_delay};
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        auto const executor = socket.get_executor();
        asio::co_spawn(executor, complete_handshake(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> hub::complete_handshake(tcp::socket socket) {
    network::socket_deadline deadline{socket.get_executor(), socket, handshake_timeout};
    auto peer = co_await accept_handshake(socket, authenticator_, self_);
    if (!deadline.lift())
        co_return;
    if (!peer) {
        log::write(log::event_kind::link_refused, {{"reason", peer.error().message}});
        co_return;
    }
    connection_pointer const accepted{
        new connection{std::move(socket), peer.value(), handler_pointer{new hub_session{*this}}, metrics_}};
    accepted->start();
}

void hub::connect(std::string const& peer, std::string const& address) {
    open_link(peer, peer, address);
}

void hub::connect_address(std::string const& address) {
    open_link(address, {}, address);
}

void hub::disconnect_address(std::string const& address) {
    disconnect(address);
}

void hub::open_link(std::string const& key, std::string const& peer, std::string const& address) {
    boost::intrusive_ptr<outbound_link> replaced;
    boost::intrusive_ptr<outbound_link> const opened{new outbound_link{*this, peer, address}};
    {
        std::scoped_lock const lock{mutex_};
        auto& slot = outbound_[key];
        if (slot && slot->address() == address)
            return;
        replaced = std::exchange(slot, opened);
    }
    if (replaced)
        replaced->stop();
    opened->start();
}

void hub::disconnect(std::string const& peer) {
    boost::intrusive_ptr<outbound_link> ended;
    {
        std::scoped_lock const lock{mutex_};
        auto const found = outbound_.find(peer);
        if (found == outbound_.end())
            return;
        ended = found->second;
        outbound_.erase(found);
    }
    ended->stop();
}

bool hub::maintains(std::string_view peer) const {
    std::scoped_lock const lock{mutex_};
    return outbound_.contains(peer);
}

connection_pointer hub::find_connection(std::string_view peer) const {
    std::scoped_lock const lock{mutex_};
    auto const [first, last] = ready_.equal_range(peer);
    // The newest connection is the last one of its range.
    return first == last ? nullptr : std::prev(last)->second;
}

std::vector<connection_pointer> hub::ready_connections() const {
    std::scoped_lock const lock{mutex_};
    std::vector<connection_pointer> result;
    result.reserve(ready_.size());
    for (auto const& [peer, item] : ready_)
        result.push_back(item);
    return result;
}

void hub::on_ready(connection& source) {
    {
        std::scoped_lock const lock{mutex_};
        ready_.emplace(source.peer().process, connection_pointer{&source});
    }
    for (auto* const observer : observers())
        observer->on_connected(source);
}

void hub::on_frame(connection& source, wire::frame const& received) {
    auto const* handler = handlers_.at(static_cast<std::size_t>(received.kind())).load(std::memory_order_acquire);
    if (handler != nullptr) {
        (*handler)(source, received);
        return;
    }
    source.close(base::make_error(base::error_kind::protocol_error,
                                  "unexpected " + std::string(wire::definition_of(received.kind()).name) + " frame"));
}

void hub::on_heartbeat(connection& source, wire::schema::HeartbeatT const& heartbeat) {
    for (auto* const observer : observers())
        observer->on_heartbeat(source, heartbeat);
}

void hub::on_closed(connection& source, base::error const& reason) {
    bool was_ready = false;
    {
        std::scoped_lock const lock{mutex_};
        auto const [first, last] = ready_.equal_range(source.peer().process);
        for (auto candidate = first; candidate != last; ++candidate) {
            if (candidate->second.get() == &source) {
                ready_.erase(candidate);
                was_ready = true;
                break;
            }
        }
    }
    if (!was_ready)
        return;
    metrics_.add(metrics::counter_kind::links_lost);
    for (auto* const observer : observers())
        observer->on_disconnected(source, reason);
}

wire::schema::HeartbeatT hub::heartbeat_content() {
    wire::schema::HeartbeatT content;
    for (auto* const observer : observers())
        observer->fill_heartbeat(content);
    return content;
}

} // namespace cyclamenledge::link
