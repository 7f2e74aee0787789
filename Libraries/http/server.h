#pragma once

#include "http/session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <mutex>
#include <set>
#include <string>

namespace cyclamenledge::http {

/// What a server does with a request. One object serves all sessions.
class request_handler {
public:
    request_handler() = default;
    request_handler(request_handler const&) = delete;
    request_handler& operator=(request_handler const&) = delete;
    virtual ~request_handler() = default;

    /// Answers the request through the session. The server reads the next request afterwards.
    virtual boost::asio::awaitable<void> handle(session_pointer client, request received) = 0;
};

/// Accepts HTTP/1.1 connections and passes their requests to a handler.
class server {
public:
    server(boost::asio::io_context& context, server_limits limits, request_handler& handler);

    /// Binds the address (IP:PORT) and starts to accept.
    base::result<void> listen(std::string const& address);
    /// Closes the listening socket. Open sessions end after their current request, idle ones at once. The first request
    /// of a connection that was accepted may be on its way, so it is still served.
    void stop_accepting();
    /// Ends the sessions that wait for their first request too. Only after stop_accepting.
    void end_sessions();

    /// Puts other limits in force for the following requests. Only for servers whose sessions run on one thread.
    void set_limits(server_limits const& limits) { limits_ = limits; }

    std::uint32_t open_sessions() const { return open_sessions_; }

private:
    boost::asio::awaitable<void> accept_sessions();
    /// Accepts the connections that the operating system holds for this server.
    void accept_waiting_connections();
    void start_session(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serve(session_pointer client);
    void end_idle_sessions(bool waive_first_request);
    /// Closes a connection over the limit without a reset.
    boost::asio::awaitable<void> refuse(session_pointer client);

    boost::asio::io_context& context_;
    server_limits limits_;
    request_handler& handler_;
    boost::asio::ip::tcp::acceptor acceptor_;
    // Leaf lock: no other lock is taken while it is held.
    std::mutex sessions_mutex_;
    std::set<session_pointer> sessions_;
    std::atomic<std::uint32_t> open_sessions_{0};
    std::atomic<std::uint32_t> refused_sessions_{0};
    std::atomic<bool> stopping_{false};
};

} // namespace cyclamenledge::http
