#include "platform/engine_calls.h"
#include "support/table_test.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

std::string const copied_answer = "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{\"handle\":\"h\",\"createRev\":3}";
std::string const late = "HTTP/1.1 503 Busy\r\nX-Request-Id: other\r\nContent-Length: 2\r\n\r\nno";

std::string const late_report = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"kvTotal\":9}";

struct outcome {
    platform::copy_result result;
    bool reusable{false};
};

asio::awaitable<void> copy(http::upstream_pointer connection, outcome& seen, base::milliseconds timeout) {
    if (!co_await connection->connect(1000ms))
        co_return;
    platform::copy_command command{"run", "127.0.0.1:9", true};
    seen.result = co_await platform::copy_memory(*connection, std::move(command), timeout);
    seen.reusable = connection->reusable();
}

} // namespace

class engine_calls_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(engine_calls_test);
    CPPUNIT_TEST(late_answers_to_requests_are_no_answers_to_calls);
    CPPUNIT_TEST(a_run_counts_as_stopped_only_by_an_answer_that_says_so);
    CPPUNIT_TEST(handles_that_would_end_a_header_are_none);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against the second copy of an answer to a caller's request that is taken for the answer to a copy command,
    // which then arrives for the next request on the connection.
    void late_answers_to_requests_are_no_answers_to_calls() {
        struct row {
            char const* name;
            std::string bytes;
            platform::copy_outcome expected;
            bool reusable;
        };
        std::vector<row> const table{
            {"own answer", copied_answer, platform::copy_outcome::copied, true},
            {"after a late one", late + copied_answer, platform::copy_outcome::copied, false},
            {"after a late report", late_report + copied_answer, platform::copy_outcome::copied, true},
        };
        for_each_row(table, [](row const& tested) {
            auto const seen = call_engine(tested.bytes, false);
            CPPUNIT_ASSERT_EQUAL(platform::name_of(tested.expected), platform::name_of(seen.result.outcome));
            CPPUNIT_ASSERT_EQUAL(tested.reusable, seen.reusable);
        });
    }

    // Guards against a stream that goes on elsewhere because a failed call was taken for the end of its run.
    void a_run_counts_as_stopped_only_by_an_answer_that_says_so() {
        struct row {
            char const* name;
            std::string bytes;
            bool closes;
            platform::copy_outcome expected;
            char const* handle;
        };
        using enum platform::copy_outcome;
        std::vector<row> const table{
            {"copied", copied_answer, false, copied, "h"},
            {"copied, but without a handle", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false, failed, ""},
            {"stopped, no room", "HTTP/1.1 503 Full\r\nContent-Length: 14\r\n\r\n{\"handle\":\"h\"}", false, no_room,
             "h"},
            {"refused", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", false, no_room, ""},
            {"not there", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n", false, not_running, ""},
            {"another call is under way", "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n", false, busy, ""},
            {"error", "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", false, failed, ""},
            {"connection ends before the answer", "", true, connection_lost, ""},
            {"connection ends in the head", copied_answer.substr(0, 20), true, connection_lost, ""},
            {"connection ends in the body", copied_answer.substr(0, copied_answer.size() - 4), true, connection_lost,
             ""},
            {"no answer", "", false, unanswered, ""},
        };
        for_each_row(table, [](row const& tested) {
            auto const seen = call_engine(tested.bytes, tested.closes);
            CPPUNIT_ASSERT_EQUAL(platform::name_of(tested.expected), platform::name_of(seen.result.outcome));
            CPPUNIT_ASSERT_EQUAL(std::string{tested.handle}, seen.result.handle);
        });
    }

    // Guards against a handle from which an engine in trouble makes headers of the next request.
    void handles_that_would_end_a_header_are_none() {
        struct row {
            char const* name;
            char const* handle;
            bool usable;
        };
        std::vector<row> const table{
            {"usual", "h-1", true},
            {"delimiters", "h/1,2;3", true},
            {"line end", R"(h\r\nX-Injected: 1)", false},
            {"line feed", R"(h\nX-Injected: 1)", false},
            {"NUL", R"(h\u0000)", false},
            {"blank at the end", "h ", false},
        };
        for_each_row(table, [](row const& tested) {
            auto const body = std::string{R"({"handle":")"} + tested.handle + "\"}";
            auto const seen = call_engine(
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, false);
            CPPUNIT_ASSERT_EQUAL(tested.usable, !seen.result.handle.empty());
            CPPUNIT_ASSERT_EQUAL(
                platform::name_of(tested.usable ? platform::copy_outcome::copied : platform::copy_outcome::failed),
                platform::name_of(seen.result.outcome));
        });
    }

private:
    static outcome call_engine(std::string const& answer, bool closes) {
        asio::io_context context;
        tcp::acceptor acceptor{context, {asio::ip::address_v4::loopback(), 0}};
        http::upstream_pointer const connection{
            new http::upstream_connection{context.get_executor(), acceptor.local_endpoint()}};
        outcome seen;
        tcp::socket peer{context};
        asio::streambuf received;
        acceptor.async_accept(peer, [&](boost::system::error_code) {
            asio::async_read_until(peer, received, "}", [&](boost::system::error_code, std::size_t) {
                asio::write(peer, asio::buffer(answer));
                if (closes)
                    peer.close();
            });
        });
        asio::co_spawn(context, copy(connection, seen, 500ms), asio::detached);
        context.run_for(1s);
        return seen;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_calls_test);

} // namespace cyclamenledge::tests
