#include "support/platform/caller_messages.h"
#include "support/platform_process/platform_world.h"
#include "support/table_test.h"

#include <boost/asio/connect.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <csignal>
#include <deque>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenledge::tests::process {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
namespace beast_http = boost::beast::http;

soak::fleet_size one_entry() {
    return {.entries = 1, .engines = 2, .services = 2};
}

// The entry refuses connections 2.5 s after the signal.
constexpr auto last_connection = 2300ms;
constexpr std::uint32_t caller_patience_milliseconds = 12000;

/// A caller's connection to the first entry, without the proxy between them.
class caller_connection {
public:
    explicit caller_connection(platform_world& world)
        : world_(world)
        , socket_(context_) {
        auto address = to_endpoint(world.fleet().entries().front()->caller_address);
        address.port(static_cast<std::uint16_t>(address.port() + 1));
        socket_.connect(address);
    }

    void send(std::string const& id, std::string const& path, std::uint32_t prompt_tokens = 0) {
        world_.act([&] {
            world_.ledger().begin_call(id, false, prompt_tokens > 0 ? soak::engine_service : soak::plain_service);
        });
        std::ostringstream message;
        message << platform::standin::encode_call(
            {id, soak::caller_host, path, soak::caller_key, caller_patience_milliseconds, prompt_tokens, 400, {}});
        unsent_ = message.str();
        send_rest(unsent_.size());
    }
    /// Sends a call but for its last byte.
    void send_part(std::string const& id, std::string const& path, std::uint32_t prompt_tokens = 0) {
        held_back_ = 1;
        send(id, path, prompt_tokens);
    }
    void send_rest() {
        held_back_ = 0;
        send_rest(unsent_.size());
    }
    /// Returns the status of a whole answer, or zero if the connection ended without one.
    unsigned read_answer() {
        beast_http::response<beast_http::string_body> answer;
        boost::system::error_code code;
        beast_http::read(socket_, buffer_, answer, code);
        return_time_ = answer[beast_http::field::retry_after];
        return code ? 0 : answer.result_int();
    }
    /// Returns the status of an answer that may end early.
    unsigned read_head() {
        beast_http::response_parser<beast_http::string_body> answer;
        boost::system::error_code code;
        beast_http::read_header(socket_, buffer_, answer, code);
        return_time_ = answer.get()[beast_http::field::retry_after];
        return code ? 0 : answer.get().result_int();
    }
    unsigned call(std::string const& id, std::string const& path) {
        send(id, path);
        return read_answer();
    }
    /// Whether the entry has closed the connection.
    bool closed() {
        boost::system::error_code code;
        socket_.non_blocking(true);
        char byte = 0;
        socket_.read_some(asio::buffer(&byte, 1), code);
        socket_.non_blocking(false);
        return code == asio::error::eof;
    }
    /// The Retry-After of the last answer.
    std::string const& return_time() const { return return_time_; }

private:
    void send_rest(std::size_t bytes) {
        boost::system::error_code code;
        auto const sent = bytes - held_back_;
        asio::write(socket_, asio::buffer(unsent_.data(), sent), code);
        unsent_.erase(0, sent);
    }

    platform_world& world_;
    asio::io_context context_;
    asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::string unsent_;
    std::size_t held_back_{0};
    std::string return_time_;
};

program& entry_of(platform_world& world) {
    return *world.fleet().entries().front()->process.process;
}

void stop_entry(platform_world& world) {
    world.act([&] {
        world.fleet().entries().front()->process.ended_on_purpose = true;
        entry_of(world).send_signal(SIGTERM);
    });
}

/// A stream that keeps a stopping process from ending before its limit.
class long_stream {
public:
    explicit long_stream(platform_world& world)
        : caller_(world) {
        caller_.send("stream", "/gen/600", 100);
        CPPUNIT_ASSERT_EQUAL(200U, caller_.read_head());
    }

private:
    caller_connection caller_;
};

struct late_call_row {
    char const* name;
    std::chrono::milliseconds begun_after;
    std::chrono::milliseconds sent_after;
    /// Answers that end without the target's answer after it may have run are 502 or 504.
    std::set<unsigned> statuses;
};

// The entry ends 7.6 s after the signal, and each call needs a second.
late_call_row const late_calls[]{
    {"finished in time", 2900ms, 3000ms, {200}},
    {"passed on, and not answered in time by its target", 4300ms, 6900ms, {502, 504}},
    {"too late to be passed on", 4300ms, 7300ms, {503}},
};

struct event_row {
    char const* name;
    void (*before)(platform_world&);
    void (*during)(platform_world&);
};

template <int Number>
void send_signal(platform_world& world) {
    entry_of(world).send_signal(Number);
}

void nothing(platform_world&) {}

void publish(platform_world& world) {
    world.act([&] { world.fleet().publish_configuration(); });
}

constexpr event_row events[]{
    {"a second SIGTERM", nothing, send_signal<SIGTERM>},      {"SIGHUP before the stop", send_signal<SIGHUP>, nothing},
    {"SIGHUP during the stop", nothing, send_signal<SIGHUP>}, {"a configuration before the stop", publish, nothing},
    {"a configuration during the stop", nothing, publish},
};

} // namespace

/// Guards against a planned stop that cuts requests off which it has accepted.
class planned_stop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(planned_stop_test);
    CPPUNIT_TEST(late_calls_on_accepted_connections_are_answered);
    CPPUNIT_TEST(late_streams_are_refused);
    CPPUNIT_TEST(calls_sent_together_late_are_answered);
    CPPUNIT_TEST(idle_kept_connections_are_closed_before_the_process_ends);
    CPPUNIT_TEST(request_that_arrives_while_the_process_ends_is_refused);
    CPPUNIT_TEST(queued_requests_are_refused_before_the_process_ends);
    CPPUNIT_TEST(signals_and_configurations_cut_no_call_off);
    CPPUNIT_TEST(process_without_targets_stops);
    CPPUNIT_TEST_SUITE_END();

public:
    void late_calls_on_accepted_connections_are_answered() {
        for_each_row(late_calls, [](late_call_row const& row) {
            platform_world world{one_entry()};
            long_stream const stream{world};
            stop_entry(world);
            std::this_thread::sleep_for(last_connection);
            caller_connection caller{world};
            std::this_thread::sleep_for(row.begun_after - last_connection);
            caller.send_part("late", "/order/slow/10");
            std::this_thread::sleep_for(row.sent_after - row.begun_after);
            caller.send_rest();
            auto const status = caller.read_answer();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(status), row.statuses.contains(status));
            CPPUNIT_ASSERT_EQUAL(status == 503, !caller.return_time().empty());
            CPPUNIT_ASSERT_EQUAL(0, entry_of(world).wait_for_exit().value_or(-1));
        });
    }

    // Guards against a stream that is taken late in the grace time and cut off at its end.
    void late_streams_are_refused() {
        struct row {
            char const* name;
            /// From the SIGTERM until the caller sends all but the last byte.
            std::chrono::milliseconds begun_after;
            std::chrono::milliseconds sent_after;
        };
        std::vector<row> const table{
            {"sent since before the stop", 0ms, 2900ms},
            {"soon after the last accepted streams", last_connection, 2900ms},
            {"in the middle of the grace time", last_connection, 4500ms},
            {"at the end of the grace time", 4300ms, 7000ms},
        };
        for_each_row(table, [](row const& tested) {
            platform_world world{one_entry()};
            long_stream const stream{world};
            caller_connection early{world};
            if (tested.begun_after == 0ms)
                early.send_part("late", "/gen/600", 100);
            auto const stopped_at = base::clock::now();
            stop_entry(world);
            std::this_thread::sleep_until(stopped_at + last_connection);
            caller_connection connected_late{world};
            auto& used = tested.begun_after == 0ms ? early : connected_late;
            std::this_thread::sleep_until(stopped_at + tested.begun_after);
            if (tested.begun_after > 0ms)
                used.send_part("late", "/gen/600", 100);
            std::this_thread::sleep_until(stopped_at + tested.sent_after);
            used.send_rest();
            CPPUNIT_ASSERT_EQUAL(503U, used.read_answer());
            CPPUNIT_ASSERT(!used.return_time().empty());
            CPPUNIT_ASSERT_EQUAL(0U, world.act([&] { return world.ledger().find("late")->runs; }));
            CPPUNIT_ASSERT_EQUAL(0, entry_of(world).wait_for_exit().value_or(-1));
        });
    }

    // Guards against the second of two calls sent together that is taken and cut off at the end of the grace time.
    void calls_sent_together_late_are_answered() {
        platform_world world{one_entry()};
        long_stream const stream{world};
        caller_connection caller{world};
        stop_entry(world);
        std::this_thread::sleep_for(6000ms);
        // The connection was idle and may have been closed; a call that crosses the close is not passed on.
        caller.send("first", "/order/slow/10");
        caller.send("second", "/order/slow/10");
        for (std::string const request : {"first", "second"}) {
            auto const status = caller.read_answer();
            auto const runs = world.act([&] { return world.ledger().find(request)->runs; });
            CPPUNIT_ASSERT_MESSAGE(request + ": " + std::to_string(status) + ", " + std::to_string(runs) + " runs",
                                   status != 0 || runs == 0);
        }
        CPPUNIT_ASSERT_EQUAL(0, entry_of(world).wait_for_exit().value_or(-1));
    }

    void idle_kept_connections_are_closed_before_the_process_ends() {
        platform_world world{one_entry()};
        long_stream const stream{world};
        caller_connection idle{world};
        caller_connection busy{world};
        CPPUNIT_ASSERT_EQUAL(200U, idle.call("idle-1", "/order/10"));
        CPPUNIT_ASSERT_EQUAL(200U, busy.call("busy-1", "/order/10"));
        stop_entry(world);
        std::this_thread::sleep_for(2200ms);
        CPPUNIT_ASSERT(!idle.closed());
        // The call takes a second, in which the idle connections are closed.
        CPPUNIT_ASSERT_EQUAL(200U, busy.call("busy-2", "/order/slow/10"));
        std::this_thread::sleep_for(100ms);
        CPPUNIT_ASSERT(busy.closed());
        CPPUNIT_ASSERT(idle.closed());
        CPPUNIT_ASSERT(entry_of(world).running());
    }

    void request_that_arrives_while_the_process_ends_is_refused() {
        platform_world world{one_entry()};
        stop_entry(world);
        std::this_thread::sleep_for(last_connection);
        caller_connection caller{world};
        caller.send_part("arriving", "/order/10");
        std::this_thread::sleep_for(600ms);
        caller.send_rest();
        CPPUNIT_ASSERT_EQUAL(503U, caller.read_answer());
        CPPUNIT_ASSERT(!caller.return_time().empty());
        CPPUNIT_ASSERT_EQUAL(0, entry_of(world).wait_for_exit().value_or(-1));
    }

    void queued_requests_are_refused_before_the_process_ends() {
        platform_world world{{.entries = 1, .engines = 1, .services = 1}};
        std::deque<caller_connection> callers;
        auto const send_streams = [&](std::string const& name, int count) {
            for (int number = 0; number < count; ++number) {
                callers.emplace_back(world);
                callers.back().send(name + std::to_string(number), "/gen/600", 1000);
            }
        };
        // They fill the engine until the process ends.
        send_streams("filling-", 40);
        std::this_thread::sleep_for(500ms);
        stop_entry(world);
        std::this_thread::sleep_for(last_connection - 200ms);
        send_streams("queued-", 10);
        std::vector<unsigned> statuses;
        for (auto& caller : callers) {
            statuses.push_back(caller.read_head());
            CPPUNIT_ASSERT_EQUAL(statuses.back() == 503, !caller.return_time().empty());
        }
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{0}, std::ranges::count(statuses, 0U));
        // Otherwise no request was queued.
        CPPUNIT_ASSERT(std::ranges::count(statuses, 503U) > 0);
        CPPUNIT_ASSERT_EQUAL(0, entry_of(world).wait_for_exit().value_or(-1));
    }

    void signals_and_configurations_cut_no_call_off() {
        for_each_row(events, [](event_row const& row) {
            platform_world world{one_entry()};
            caller_connection early{world};
            caller_connection late{world};
            row.before(world);
            early.send("early", "/order/slow/10");
            std::this_thread::sleep_for(300ms);
            stop_entry(world);
            std::this_thread::sleep_for(300ms);
            row.during(world);
            CPPUNIT_ASSERT_EQUAL(200U, early.read_answer());
            CPPUNIT_ASSERT_EQUAL(200U, late.call("late", "/order/slow/10"));
            CPPUNIT_ASSERT_EQUAL(0, entry_of(world).wait_for_exit().value_or(-1));
        });
    }

    void process_without_targets_stops() {
        platform_world world{one_entry()};
        world.act([&] {
            world.fleet().entries().front()->process.process->kill();
            world.fleet().store().set_mode(platform::standin::store_mode::silent);
            world.fleet().start_daemon(world.fleet().entries().front()->process);
        });
        std::this_thread::sleep_for(1000ms);
        caller_connection before{world};
        caller_connection after{world};
        CPPUNIT_ASSERT_EQUAL(503U, before.call("before", "/order/10"));
        stop_entry(world);
        std::this_thread::sleep_for(300ms);
        CPPUNIT_ASSERT_EQUAL(503U, after.call("after", "/order/10"));
        CPPUNIT_ASSERT_EQUAL(0, entry_of(world).wait_for_exit().value_or(-1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

} // namespace cyclamenledge::tests::process
