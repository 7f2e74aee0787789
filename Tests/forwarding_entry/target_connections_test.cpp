#include "forwarding_entry/target_connections.h"
#include "platform/engine_calls.h"
#include "support/table_test.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

std::string const call{platform::unnamed_call};

/// Answers every message on every connection.
asio::awaitable<void> serve(tcp::acceptor& acceptor, std::vector<tcp::socket>& peers) {
    while (true) {
        peers.push_back(co_await acceptor.async_accept(asio::use_awaitable));
        asio::co_spawn(
            acceptor.get_executor(),
            [&peer = peers.back()]() -> asio::awaitable<void> {
                std::string received;
                while (true) {
                    auto const end = co_await asio::async_read_until(peer, asio::dynamic_buffer(received), "\r\n\r\n",
                                                                     asio::use_awaitable);
                    received.erase(0, end);
                    std::string const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
                    co_await asio::async_write(peer, asio::buffer(answer), asio::use_awaitable);
                }
            },
            asio::detached);
    }
}

/// Sends messages of the given names one after another and records the connection of each by its local port.
asio::awaitable<void> send_all(asio::io_context& context, std::string address, std::vector<std::string> names,
                               std::vector<std::uint16_t>& ports) {
    forwarding_entry::target_connections pool{context.get_executor()};
    for (auto const& name : names) {
        auto const connected = co_await pool.acquire(address, name, 1000ms, 1000ms);
        if (!connected)
            break;
        auto const& connection = connected.value();
        http::request const message{http::beast_http::verb::get, "/", http::http_version_1_1};
        bool const answered = co_await connection->send(message, 1000ms) && co_await connection->read_head(1000ms) &&
                              co_await connection->read_whole_body(1000, 1000ms);
        if (!answered)
            break;
        ports.push_back(connection->local_port());
        pool.release(address, connection, {});
    }
    context.stop();
}

} // namespace

class target_connections_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(target_connections_test);
    CPPUNIT_TEST(answers_to_messages_on_a_connection_can_be_told_apart);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a connection that carries two messages whose answers look alike, so that a late second answer to
    // the first is taken for the answer to the second.
    void answers_to_messages_on_a_connection_can_be_told_apart() {
        struct row {
            char const* name;
            std::vector<std::string> messages;
            std::size_t connections;
        };
        std::vector<row> const table{
            {"two requests", {"a", "b"}, 1},
            {"the same request twice", {"a", "a"}, 2},
            {"a call after a request", {"a", call}, 1},
            {"a request after a call", {call, "a"}, 1},
            {"two calls", {call, call}, 2},
            {"two calls with a request between them", {call, "a", call}, 2},
            {"a request beside two calls", {call, call, "a", "b"}, 2},
            {"three calls", {call, call, call}, 3},
        };
        for_each_row(table, [](row const& tested) {
            asio::io_context context;
            tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
            std::vector<tcp::socket> peers;
            peers.reserve(tested.messages.size());
            asio::co_spawn(context, serve(acceptor, peers), asio::detached);
            std::vector<std::uint16_t> ports;
            asio::co_spawn(context,
                           send_all(context, "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()),
                                    tested.messages, ports),
                           asio::detached);
            context.run_for(5s);
            CPPUNIT_ASSERT_EQUAL(tested.messages.size(), ports.size());
            CPPUNIT_ASSERT_EQUAL(tested.connections, std::set<std::uint16_t>(ports.begin(), ports.end()).size());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(target_connections_test);

} // namespace cyclamenledge::tests
