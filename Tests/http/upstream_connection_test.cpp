#include "http/upstream_connection.h"
#include "support/table_test.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

enum class ending { close, reset };

asio::awaitable<void> read_answer(http::upstream_pointer connection, bool& complete) {
    if (!co_await connection->connect(1000ms))
        co_return;
    http::request const message{http::beast_http::verb::get, "/", http::http_version_1_1};
    if (!co_await connection->send(message, 1000ms) || !co_await connection->read_head(1000ms))
        co_return;
    auto const body = co_await connection->read_whole_body(1000, 1000ms);
    complete = body.has_value();
}

asio::awaitable<void> send_answer(tcp::acceptor& acceptor, std::string bytes, ending end) {
    auto peer = co_await acceptor.async_accept(asio::use_awaitable);
    // Unread bytes would turn any end into a reset.
    std::string received(1000, '\0');
    co_await peer.async_read_some(asio::buffer(received), asio::use_awaitable);
    co_await asio::async_write(peer, asio::buffer(bytes), asio::use_awaitable);
    // The answer arrives before the end of the connection.
    asio::steady_timer timer{peer.get_executor(), 50ms};
    co_await timer.async_wait(asio::use_awaitable);
    if (end == ending::reset)
        peer.set_option(asio::socket_base::linger{true, 0});
    peer.close();
}

} // namespace

class upstream_connection_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(upstream_connection_test);
    CPPUNIT_TEST(answers_that_break_off_are_not_complete);
    CPPUNIT_TEST(kept_connections_hold_no_memory_of_large_answers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an answer that broke off halfway and is passed on as a complete one.
    void answers_that_break_off_are_not_complete() {
        struct row {
            char const* name;
            std::string bytes;
            ending end;
            bool complete;
        };
        std::string const head = "HTTP/1.1 200 OK\r\n";
        std::vector<row> const table{
            {"with its length", head + "Content-Length: 4\r\n\r\nbody", ending::close, true},
            {"shorter than its length", head + "Content-Length: 9\r\n\r\nbody", ending::close, false},
            {"in chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", ending::close, true},
            {"without the last chunk", head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n", ending::close, false},
            {"ends with its connection", head + "\r\nbody", ending::close, true},
            {"ends with a reset", head + "\r\nbody", ending::reset, false},
        };
        for_each_row(table, [](row const& tested) {
            asio::io_context context;
            tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
            http::upstream_pointer const connection{
                new http::upstream_connection{context.get_executor(), acceptor.local_endpoint()}};
            bool complete = false;
            asio::co_spawn(context, send_answer(acceptor, tested.bytes, tested.end), asio::detached);
            asio::co_spawn(context, read_answer(connection, complete), asio::detached);
            context.run_for(2s);
            CPPUNIT_ASSERT_EQUAL(tested.complete, complete);
        });
    }

    // Guards against kept connections that hold a buffer of the size of their largest head, for each target.
    void kept_connections_hold_no_memory_of_large_answers() {
        constexpr std::size_t large_head = 30000;
        constexpr std::size_t most_kept = 4096;
        asio::io_context context;
        tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
        http::upstream_pointer const connection{
            new http::upstream_connection{context.get_executor(), acceptor.local_endpoint()}};
        bool complete = false;
        auto const answer =
            "HTTP/1.1 200 OK\r\nX-Text: " + std::string(large_head, 'x') + "\r\nContent-Length: 4\r\n\r\nbody";
        asio::co_spawn(context, send_answer(acceptor, answer, ending::close), asio::detached);
        asio::co_spawn(context, read_answer(connection, complete), asio::detached);
        context.run_for(2s);
        CPPUNIT_ASSERT(complete);
        CPPUNIT_ASSERT_LESSEQUAL(most_kept, connection->buffer_bytes());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(upstream_connection_test);

} // namespace cyclamenledge::tests
