#include "http/server.h"

#include "log/logger.h"
#include "network/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <tuple>
#include <utility>

namespace cyclamenledge::http {

namespace asio = boost::asio;

namespace {

// Pause after a failed accept, for example when the process is out of file descriptors.
constexpr base::milliseconds accept_retry_pause{50};
// Connections over the limit that may wait for their callers to close. Those beyond are reset.
constexpr std::uint32_t maximum_refused_sessions = 64;

bool is_input_error(base::error_kind kind) {
    return kind != base::error_kind::link_lost && kind != base::error_kind::io_failed;
}

} // namespace

server::server(asio::io_context& context, server_limits limits, request_handler& handler)
    : context_(context)
    , limits_(limits)
    , handler_(handler)
    , acceptor_(asio::make_strand(context)) {}

base::result<void> server::listen(std::string const& address) {
    BOOST_OUTCOME_TRYV(network::open_acceptor(acceptor_, address));
    asio::co_spawn(acceptor_.get_executor(), accept_sessions(), asio::detached);
    return base::success();
}

void server::stop_accepting() {
    stopping_ = true;
    asio::post(acceptor_.get_executor(), [this] {
        accept_waiting_connections();
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        end_idle_sessions(false);
    });
}

void server::end_sessions() {
    asio::post(acceptor_.get_executor(), [this] { end_idle_sessions(true); });
}

void server::end_idle_sessions(bool waive_first_request) {
    std::scoped_lock const lock{sessions_mutex_};
    for (auto const& client : sessions_)
        asio::post(client->executor(), [client, waive_first_request] { client->end_when_idle(waive_first_request); });
}

void server::accept_waiting_connections() {
    boost::system::error_code code;
    acceptor_.non_blocking(true, code);
    while (!code) {
        asio::ip::tcp::socket socket{asio::make_strand(context_)};
        acceptor_.accept(socket, code);
        if (!code)
            start_session(std::move(socket));
    }
}

void server::start_session(asio::ip::tcp::socket socket) {
    // More connections would exhaust the process.
    bool const over_limit = open_sessions_ >= limits_.connections;
    if (over_limit && refused_sessions_ >= maximum_refused_sessions)
        return;
    session_pointer const client{new session{std::move(socket), limits_}};
    ++(over_limit ? refused_sessions_ : open_sessions_);
    if (!over_limit) {
        std::scoped_lock const lock{sessions_mutex_};
        sessions_.insert(client);
    }
    asio::co_spawn(client->executor(), over_limit ? refuse(client) : serve(client), asio::detached);
}

asio::awaitable<void> server::accept_sessions() {
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
        start_session(std::move(socket));
    }
}

asio::awaitable<void> server::serve(session_pointer client) {
    while (true) {
        auto received = co_await client->read_request();
        if (!received) {
            if (is_input_error(received.error().kind)) {
                log::write(log::event_kind::caller_input_refused, {{"reason", received.error().message}});
                client->end_after_answer();
                std::ignore = co_await client->send(make_error_response(received.error()));
            }
            break;
        }
        if (stopping_)
            client->end_after_answer();
        co_await handler_.handle(client, std::move(received).value());
        if (stopping_ || !client->keep_alive())
            break;
    }
    co_await client->finish();
    {
        std::scoped_lock const lock{sessions_mutex_};
        sessions_.erase(client);
    }
    --open_sessions_;
}

asio::awaitable<void> server::refuse(session_pointer client) {
    co_await client->finish();
    --refused_sessions_;
}

} // namespace cyclamenledge::http
