#include "http/client.h"
#include "http/line_stream.h"
#include "http/upstream_connection.h"
#include "support/table_test.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

constexpr base::milliseconds time_limit{3000};
// What is no answer is known from its first line.
constexpr base::milliseconds latest_failure{1000};

std::string const inner = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nodd";

http::request request_of_test() {
    return http::make_request(http::beast_http::verb::get, "/", {});
}

/// The status that the reader takes for that of the answer, or 0 for a message that is none.
using reader = asio::awaitable<unsigned> (*)(asio::io_context& context, tcp::endpoint endpoint);

asio::awaitable<unsigned> read_with_connection(asio::io_context& context, tcp::endpoint endpoint) {
    http::upstream_pointer const connection{new http::upstream_connection{context.get_executor(), endpoint}};
    auto const message = request_of_test();
    if (!co_await connection->connect(time_limit) || !co_await connection->send(message, time_limit))
        co_return 0;
    auto const head = co_await connection->read_head(time_limit);
    CPPUNIT_ASSERT(head || !connection->reusable());
    co_return head ? head.value().result_int() : 0;
}

asio::awaitable<unsigned> read_with_exchange(asio::io_context&, tcp::endpoint endpoint) {
    constexpr std::size_t most_bytes = 1000;
    http::client_timeouts const timeouts{time_limit, time_limit};
    auto const answer = co_await http::exchange(endpoint, request_of_test(), timeouts, most_bytes);
    co_return answer ? answer.value().result_int() : 0;
}

asio::awaitable<unsigned> read_with_line_stream(asio::io_context& context, tcp::endpoint endpoint) {
    http::line_stream stream{context.get_executor()};
    http::client_timeouts const timeouts{time_limit, time_limit};
    auto const status = co_await stream.open(endpoint, request_of_test(), timeouts);
    co_return status ? status.value() : 0;
}

asio::awaitable<void> read(asio::io_context& context, tcp::endpoint endpoint, reader function,
                           std::optional<unsigned>& seen) {
    seen = co_await function(context, endpoint);
    context.stop();
}

/// Sends the bytes and leaves the connection open.
asio::awaitable<void> send(tcp::acceptor& acceptor, std::string bytes) {
    auto peer = co_await acceptor.async_accept(asio::use_awaitable);
    std::string received(1000, '\0');
    co_await peer.async_read_some(asio::buffer(received), asio::use_awaitable);
    co_await asio::async_write(peer, asio::buffer(bytes), asio::use_awaitable);
    asio::steady_timer timer{peer.get_executor(), time_limit * 2};
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace

/// Guards against a message whose status is none of an answer, and that is read as one or passed over.
class answer_status_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(answer_status_test);
    CPPUNIT_TEST(connections_read_answers_only);
    CPPUNIT_TEST(exchanges_read_answers_only);
    CPPUNIT_TEST(line_streams_read_answers_only);
    CPPUNIT_TEST_SUITE_END();

public:
    void connections_read_answers_only() { check(&read_with_connection, true); }
    void exchanges_read_answers_only() { check(&read_with_exchange, true); }
    void line_streams_read_answers_only() { check(&read_with_line_stream, false); }

private:
    static void check(reader function, bool skips_interim_answers) {
        struct row {
            char const* name;
            std::string bytes;
            unsigned expected;
        };
        std::string const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        unsigned const after_interim = skips_interim_answers ? 200 : 0;
        std::vector<row> const table{
            {"200", answer, 200},
            {"299", "HTTP/1.1 299 Fine\r\nContent-Length: 0\r\n\r\n", 299},
            {"425", "HTTP/1.1 425 Too Early\r\nContent-Length: 0\r\n\r\n", 425},
            {"520", "HTTP/1.1 520 Unknown\r\nContent-Length: 0\r\n\r\n", 520},
            {"599", "HTTP/1.1 599 Last\r\nContent-Length: 0\r\n\r\n", 599},
            {"000", "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n", 0},
            {"000 around an answer", odd_status("000") + inner, 0},
            {"050 around an answer", odd_status("050") + inner, 0},
            {"099", "HTTP/1.1 099 Odd\r\nContent-Length: 0\r\n\r\n", 0},
            {"101", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\n\r\n" + answer, 0},
            {"600", "HTTP/1.1 600 Odd\r\nContent-Length: 0\r\n\r\n", 0},
            {"999 around an answer", odd_status("999") + inner, 0},
            {"100 before an answer", "HTTP/1.1 100 Continue\r\n\r\n" + answer, after_interim},
            {"199 before an answer", "HTTP/1.1 199 Odd\r\n\r\n" + answer, after_interim},
            {"interim answers before 000",
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 000 Odd\r\n\r\n", 0},
        };
        for_each_row(table, [function](row const& tested) {
            asio::io_context context;
            tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
            std::optional<unsigned> seen;
            auto const began = base::clock::now();
            asio::co_spawn(context, send(acceptor, tested.bytes), asio::detached);
            asio::co_spawn(context, read(context, acceptor.local_endpoint(), function, seen), asio::detached);
            context.run_for(time_limit * 2);
            CPPUNIT_ASSERT(seen.has_value());
            CPPUNIT_ASSERT_EQUAL(tested.expected, *seen);
            CPPUNIT_ASSERT(base::clock::now() - began < latest_failure);
        });
    }

    static std::string odd_status(std::string const& status) {
        return "HTTP/1.1 " + status + " Odd\r\nContent-Length: " + std::to_string(inner.size()) + "\r\n\r\n";
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(answer_status_test);

} // namespace cyclamenledge::tests
