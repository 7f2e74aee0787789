#include "http/server.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr char const* address = "127.0.0.1:18931";

class echo_handler : public http::request_handler {
public:
    asio::awaitable<void> handle(http::session_pointer client, http::request) override {
        std::ignore = co_await client->send(http::make_response(200, "text/plain", body));
    }

    std::string body{"ok"};
};

std::string call_with(std::string const& headers) {
    return "GET / HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

/// A caller's connection.
struct caller {
    explicit caller(std::optional<int> receive_bytes = {}) {
        socket.open(tcp::v4());
        if (receive_bytes)
            socket.set_option(asio::socket_base::receive_buffer_size{*receive_bytes});
        socket.connect({asio::ip::make_address("127.0.0.1"), 18931});
    }
    void send(std::string const& bytes) { asio::write(socket, asio::buffer(bytes)); }
    /// What has arrived, without waiting. The code tells why there is no more.
    std::string read_available(boost::system::error_code& code) {
        socket.non_blocking(true);
        std::string bytes;
        asio::read(socket, asio::dynamic_buffer(bytes), code);
        return bytes;
    }
    asio::io_context context;
    tcp::socket socket{context};
};

} // namespace

class server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(server_test);
    CPPUNIT_TEST(waiting_connections_are_served_when_the_server_stops_accepting);
    CPPUNIT_TEST(answer_outlives_a_request_that_crosses_the_close);
    CPPUNIT_TEST(connection_over_the_limit_is_not_reset);
    CPPUNIT_TEST(idle_kept_connection_is_closed_when_the_server_stops_accepting);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against resetting connections that the operating system has accepted for a server that is busy, when the
    // server stops accepting.
    void waiting_connections_are_served_when_the_server_stops_accepting() {
        asio::io_context context;
        echo_handler handler;
        http::server server{context, {}, handler};
        CPPUNIT_ASSERT(server.listen(address));
        asio::io_context callers_context;
        std::vector<tcp::socket> callers;
        for (int number = 0; number < 8; ++number) {
            callers.emplace_back(callers_context);
            callers.back().connect({asio::ip::make_address("127.0.0.1"), 18931});
            asio::write(callers.back(), asio::buffer(std::string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n"}));
        }
        server.stop_accepting();
        context.run_for(500ms);
        for (auto& caller : callers) {
            std::string answer;
            boost::system::error_code code;
            asio::read(caller, asio::dynamic_buffer(answer), code);
            CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
        }
    }

    // Guards against a reset that takes the rest of an answer away, because the caller's next request arrives when the
    // connection is closed.
    void answer_outlives_a_request_that_crosses_the_close() {
        constexpr std::size_t body_bytes = 300'000;
        asio::io_context context;
        echo_handler handler;
        handler.body.assign(body_bytes, 'x');
        http::server server{context, {}, handler};
        CPPUNIT_ASSERT(server.listen(address));
        auto const work = asio::make_work_guard(context);
        std::jthread const thread{[&] { context.run(); }};
        // The small window keeps most of the answer at the server when it closes.
        caller slow{4096};
        slow.send(call_with("Connection: close\r\n"));
        std::this_thread::sleep_for(200ms);
        slow.send(call_with(""));
        std::this_thread::sleep_for(100ms);
        std::string answer;
        boost::system::error_code code;
        asio::read(slow.socket, asio::dynamic_buffer(answer), code);
        context.stop();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(code.message(), std::string{"End of file"}, code.message());
        CPPUNIT_ASSERT(answer.size() > body_bytes);
    }

    // Guards against resetting a connection that is refused, with its request unread.
    void connection_over_the_limit_is_not_reset() {
        asio::io_context context;
        echo_handler handler;
        http::server server{context, {.connections = 0}, handler};
        CPPUNIT_ASSERT(server.listen(address));
        caller refused;
        refused.send(call_with(""));
        context.run_for(200ms);
        boost::system::error_code code;
        CPPUNIT_ASSERT_EQUAL(std::string{}, refused.read_available(code));
        CPPUNIT_ASSERT_EQUAL(std::string{"End of file"}, code.message());
    }

    // Guards against callers that send requests over a kept connection to a process that is about to end.
    void idle_kept_connection_is_closed_when_the_server_stops_accepting() {
        asio::io_context context;
        echo_handler handler;
        http::server server{context, {}, handler};
        CPPUNIT_ASSERT(server.listen(address));
        caller kept;
        caller fresh;
        kept.send(call_with(""));
        context.run_for(100ms);
        server.stop_accepting();
        context.run_for(100ms);
        boost::system::error_code code;
        CPPUNIT_ASSERT(kept.read_available(code).starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::string{"End of file"}, code.message());
        // The first request of a connection that was accepted may be on its way.
        fresh.send(call_with(""));
        context.run_for(100ms);
        CPPUNIT_ASSERT(fresh.read_available(code).starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(std::string{"End of file"}, code.message());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_test);

} // namespace cyclamenledge::tests
