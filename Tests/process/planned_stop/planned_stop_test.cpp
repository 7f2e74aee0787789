#include "support/platform/caller_messages.h"
#include "support/platform_process/platform_world.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <string>
#include <thread>

namespace cyclamenledge::tests::process {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace beast_http = boost::beast::http;

/// A connection that its caller keeps between calls.
class kept_connection {
public:
    explicit kept_connection(std::string const& address)
        : socket_(context_) {
        socket_.connect(to_endpoint(address));
    }

    /// Returns the status, or zero if the connection ended without an answer.
    unsigned call(platform_world& world, std::string const& id, std::string const& path) {
        world.act([&] { world.ledger().begin_call(id, false, soak::plain_service); });
        auto const message =
            platform::standin::encode_call({id, soak::caller_host, path, soak::caller_key, 6000, 0, 0, {}});
        boost::system::error_code code;
        beast_http::write(socket_, message, code);
        beast_http::response<beast_http::string_body> answer;
        beast_http::read(socket_, buffer_, answer, code);
        return code ? 0 : answer.result_int();
    }

private:
    asio::io_context context_;
    asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
};

} // namespace

/// Guards against a planned stop that cuts requests off which it has accepted.
class planned_stop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(planned_stop_test);
    CPPUNIT_TEST(late_calls_on_kept_connections_are_answered);
    CPPUNIT_TEST_SUITE_END();

public:
    void late_calls_on_kept_connections_are_answered() {
        platform_world world{{.entries = 1, .engines = 2, .services = 2}};
        auto& process = world.fleet().entries().front()->process;
        kept_connection kept{world.fleet().entries().front()->caller_address};
        CPPUNIT_ASSERT_EQUAL(200U, kept.call(world, "kept-1", "/order/10"));
        // The stream keeps the process from ending until some 3.5 s after the signal.
        std::thread stream{[&] {
            CPPUNIT_ASSERT_EQUAL(200U, world.call({"stream", "/gen/150", 100, {}, 0, false}).status);
        }};
        std::this_thread::sleep_for(300ms);
        world.act([&] {
            process.ended_on_purpose = true;
            process.process->send_signal(SIGTERM);
        });
        std::this_thread::sleep_for(3000ms);
        // The call takes a second, and the stream ends meanwhile.
        auto const status = kept.call(world, "kept-2", "/order/slow/10");
        stream.join();
        CPPUNIT_ASSERT_EQUAL(200U, status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

} // namespace cyclamenledge::tests::process
