#include "http/line_stream.h"
#include "http/upstream_connection.h"
#include "support/table_test.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
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

constexpr auto as_tuple = asio::as_tuple(asio::use_awaitable);
constexpr base::milliseconds time_limit{300};
constexpr base::milliseconds latest_end{1000};
constexpr std::size_t body_limit = 1024UL * 1024 * 1024;
// Enough to send for longer than the time limit.
constexpr std::size_t most_sent = 2048UL * 1024 * 1024;

struct endless_answer {
    char const* name;
    /// What the server sends first.
    std::string beginning;
    /// What it repeats without end.
    std::string repeated;
};

asio::awaitable<void> send_without_end(tcp::acceptor& acceptor, endless_answer const& sent, base::milliseconds pause) {
    auto peer = co_await acceptor.async_accept(asio::use_awaitable);
    std::string received(1000, '\0');
    co_await peer.async_read_some(asio::buffer(received), as_tuple);
    co_await asio::async_write(peer, asio::buffer(sent.beginning), as_tuple);
    std::string part = sent.repeated;
    constexpr std::size_t large_part = 64UL * 1024;
    while (pause.count() == 0 && part.size() < large_part)
        part += sent.repeated;
    for (std::size_t total = 0; total < most_sent; total += part.size()) {
        auto [code, count] = co_await asio::async_write(peer, asio::buffer(part), as_tuple);
        if (code)
            co_return;
        if (pause.count() > 0) {
            asio::steady_timer timer{peer.get_executor(), pause};
            co_await timer.async_wait(as_tuple);
        }
    }
}

struct reading {
    bool ended{false};
    bool failed{false};
    base::milliseconds took{0};
};

asio::awaitable<void> read_answer(http::upstream_pointer connection, reading& result) {
    if (!co_await connection->connect(1000ms))
        co_return;
    http::request const message{http::beast_http::verb::get, "/", http::http_version_1_1};
    if (!co_await connection->send(message, 1000ms))
        co_return;
    auto const started = base::clock::now();
    auto const head = co_await connection->read_head(time_limit);
    result.failed = !head;
    if (head) {
        auto const body = co_await connection->read_whole_body(body_limit, time_limit);
        result.failed = !body;
    }
    result.took = std::chrono::duration_cast<base::milliseconds>(base::clock::now() - started);
    result.ended = true;
    connection->close();
}

reading read_endless(endless_answer const& sent, base::milliseconds pause) {
    asio::io_context context;
    tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
    http::upstream_pointer const connection{
        new http::upstream_connection{context.get_executor(), acceptor.local_endpoint()}};
    reading result;
    asio::co_spawn(context, send_without_end(acceptor, sent, pause), asio::detached);
    asio::co_spawn(context, read_answer(connection, result), asio::detached);
    context.run_for(latest_end * 3);
    return result;
}

asio::awaitable<void> read_line(asio::io_context& context, tcp::endpoint endpoint, reading& result) {
    http::line_stream lines{context.get_executor()};
    http::request message{http::beast_http::verb::get, "/", http::http_version_1_1};
    http::client_timeouts const timeouts;
    if (!co_await lines.open(endpoint, std::move(message), timeouts))
        co_return;
    auto const started = base::clock::now();
    auto const line = co_await lines.read_line(time_limit);
    result.failed = !line;
    result.took = std::chrono::duration_cast<base::milliseconds>(base::clock::now() - started);
    result.ended = true;
}

std::string const success = "HTTP/1.1 200 OK\r\n";
std::string const chunked = success + "Transfer-Encoding: chunked\r\n\r\n";

std::vector<endless_answer> const table{
    {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
    {"line of a head", success + "X-Text: ", "x"},
    {"lines of a head", success, "X: y\r\n"},
    {"bytes that are no answer", "", "x"},
    {"blank lines", "", "\r\n"},
    {"body without length", success + "\r\n", "x"},
    {"chunks", chunked, "1\r\nx\r\n"},
    {"chunk extension", chunked + "1;", "x"},
    {"trailer", chunked + "0\r\n", "X: y\r\n"},
};

} // namespace

/// Guards against servers that send bytes without end: a read must end by its time and by its bytes.
class endless_answers_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endless_answers_test);
    CPPUNIT_TEST(answers_that_arrive_fast_end_in_time);
    CPPUNIT_TEST(answers_that_trickle_end_in_time);
    CPPUNIT_TEST(lines_that_are_blank_end_in_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void answers_that_arrive_fast_end_in_time() { check(0ms); }
    void answers_that_trickle_end_in_time() { check(20ms); }

    void lines_that_are_blank_end_in_time() {
        struct row {
            char const* name;
            base::milliseconds pause;
        };
        std::vector<row> const speeds{{"fast", 0ms}, {"trickling", 20ms}};
        endless_answer const blank{"blank lines of a body", success + "\r\n", "\n"};
        for_each_row(speeds, [&](row const& tested) {
            asio::io_context context;
            tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
            reading result;
            asio::co_spawn(context, send_without_end(acceptor, blank, tested.pause), asio::detached);
            asio::co_spawn(context, read_line(context, acceptor.local_endpoint(), result), asio::detached);
            context.run_for(latest_end * 3);
            CPPUNIT_ASSERT(result.ended);
            CPPUNIT_ASSERT(result.failed);
            CPPUNIT_ASSERT_LESS(latest_end.count(), result.took.count());
        });
    }

private:
    static void check(base::milliseconds pause) {
        for_each_row(table, [pause](endless_answer const& tested) {
            auto const seen = read_endless(tested, pause);
            CPPUNIT_ASSERT(seen.ended);
            CPPUNIT_ASSERT(seen.failed);
            CPPUNIT_ASSERT_LESS(latest_end.count(), seen.took.count());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endless_answers_test);

} // namespace cyclamenledge::tests
