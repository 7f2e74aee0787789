#include "soak/fault_proxy.h"

#include "network/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <utility>
#include <vector>

namespace cyclamenledge::soak {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds delay_length{120};
constexpr base::milliseconds hold_check{20};
constexpr std::size_t buffer_bytes = 16UL * 1024;

} // namespace

void fault_proxy::link::close() {
    boost::system::error_code ignored;
    caller.close(ignored);
    server.close(ignored);
}

void fault_proxy::link::reset() {
    boost::system::error_code ignored;
    for (auto* side : {&caller, &server})
        side->set_option(asio::socket_base::linger{true, 0}, ignored);
    close();
}

fault_proxy::fault_proxy(asio::io_context& context, std::string const& server)
    : context_(context)
    , server_(network::parse_endpoint(server).value())
    , acceptor_(context) {}

base::result<void> fault_proxy::listen(std::string const& address) {
    BOOST_OUTCOME_TRY(address_, network::parse_endpoint(address));
    return open_acceptor();
}

base::result<void> fault_proxy::open_acceptor() {
    boost::system::error_code code;
    acceptor_.open(address_.protocol(), code);
    acceptor_.set_option(asio::ip::tcp::acceptor::reuse_address{true}, code);
    acceptor_.bind(address_, code);
    if (!code)
        acceptor_.listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return base::make_error(base::error_kind::io_failed,
                                "proxy at port " + std::to_string(address_.port()) + ": " + code.message());
    asio::co_spawn(context_, accept(), asio::detached);
    return base::success();
}

void fault_proxy::stop_listening() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

base::result<void> fault_proxy::resume_listening() {
    if (acceptor_.is_open())
        return base::success();
    return open_acceptor();
}

void fault_proxy::set_mode(proxy_mode mode) {
    mode_ = mode;
    if (mode == proxy_mode::close)
        reset_connections();
}

std::vector<fault_proxy::link_pointer> fault_proxy::open_links() {
    std::vector<link_pointer> open;
    for (auto& item : links_)
        open.emplace_back(&item);
    return open;
}

void fault_proxy::reset_connections() {
    for (auto const& item : open_links())
        item->reset();
}

void fault_proxy::end_connections() {
    for (auto const& item : open_links())
        item->close();
}

asio::awaitable<void> fault_proxy::pause(base::milliseconds length) {
    asio::steady_timer timer{context_, length};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> fault_proxy::accept() {
    while (true) {
        auto [code, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (code)
            co_return;
        link_pointer const made{new link{std::move(socket), context_}};
        asio::co_spawn(context_, open(made), asio::detached);
    }
}

asio::awaitable<void> fault_proxy::open(link_pointer made) {
    if (mode_ == proxy_mode::close) {
        made->close();
        co_return;
    }
    links_.push_back(*made);
    auto const [code] = co_await made->server.async_connect(server_, asio::as_tuple(asio::use_awaitable));
    if (code) {
        made->close();
        co_return;
    }
    asio::co_spawn(context_, pass(made, true), asio::detached);
    asio::co_spawn(context_, pass(made, false), asio::detached);
}

asio::awaitable<void> fault_proxy::hold(link const& made, bool from_caller) {
    if (mode_ == proxy_mode::delay)
        co_await pause(delay_length);
    auto const held = from_caller ? proxy_mode::cut_requests : proxy_mode::cut_answers;
    while (made.caller.is_open() && (mode_ == proxy_mode::silence || mode_ == held))
        co_await pause(hold_check);
}

asio::awaitable<void> fault_proxy::pass(link_pointer made, bool from_caller) {
    auto& source = from_caller ? made->caller : made->server;
    auto& sink = from_caller ? made->server : made->caller;
    std::array<char, buffer_bytes> buffer{};
    while (true) {
        auto const [code, count] =
            co_await source.async_read_some(asio::buffer(buffer), asio::as_tuple(asio::use_awaitable));
        // An answer that ends with its connection would look complete.
        if (code == asio::error::connection_reset) {
            made->reset();
            co_return;
        }
        if (code)
            break;
        co_await hold(*made, from_caller);
        auto const [failed, written] =
            co_await asio::async_write(sink, asio::buffer(buffer, count), asio::as_tuple(asio::use_awaitable));
        if (failed)
            break;
    }
    // What the other direction still carries must not be lost.
    boost::system::error_code ignored;
    sink.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (!from_caller || ignored)
        made->close();
}

} // namespace cyclamenledge::soak
