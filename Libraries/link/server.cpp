#include "link/server.h"

#include "link/handshake.h"
#include "log/logger.h"
#include "network/endpoint.h"

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

constexpr base::milliseconds accept_retry_pause{50};
// A peer that connects and then stays silent must not hold a socket for ever.
constexpr base::seconds handshake_timeout{5};

} // namespace

server::server(asio::io_context& context, wire::authenticator const& authenticator, peer_identity self,
               metrics::registry& metrics, handler_factory make_handler, connection_sink on_connection)
    : context_(context)
    , authenticator_(authenticator)
    , self_(std::move(self))
    , metrics_(metrics)
    , make_handler_(std::move(make_handler))
    , on_connection_(std::move(on_connection))
    , acceptor_(asio::make_strand(context)) {}

base::result<void> server::listen(std::string const& address) {
    BOOST_OUTCOME_TRYV(network::open_acceptor(acceptor_, address));
    asio::co_spawn(acceptor_.get_executor(), accept_connections(), asio::detached);
    return base::success();
}

void server::stop_accepting() {
    stopping_ = true;
    asio::post(acceptor_.get_executor(), [this] {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
    });
}

asio::awaitable<void> server::accept_connections() {
    while (!stopping_) {
        auto [code, socket] =
            co_await acceptor_.async_accept(asio::make_strand(context_), asio::as_tuple(asio::use_awaitable));
        if (code && stopping_)
            co_return;
        if (code) {
            asio::steady_timer timer{acceptor_.get_executor(), accept_retry_pause};
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        auto const executor = socket.get_executor();
        asio::co_spawn(executor, serve(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> server::serve(tcp::socket socket) {
    asio::steady_timer timer{socket.get_executor(), handshake_timeout};
    timer.async_wait([&socket](boost::system::error_code const& code) {
        boost::system::error_code ignored;
        if (!code)
            socket.close(ignored);
    });
    auto peer = co_await accept_handshake(socket, authenticator_, self_);
    if (timer.cancel() == 0)
        co_return; // The timeout has fired and closed the socket.
    if (!peer) {
        log::write(log::event_kind::link_refused, {{"reason", peer.error().message}});
        co_return;
    }
    connection_pointer const accepted{
        new connection{std::move(socket), peer.value(), make_handler_(peer.value()), metrics_}};
    on_connection_(accepted);
    accepted->start();
}

} // namespace cyclamenledge::link
