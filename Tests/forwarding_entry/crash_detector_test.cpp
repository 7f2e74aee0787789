#include "forwarding/fleet_fixture.h"
#include "forwarding_entry/crash_detector.h"
#include "process/runtime.h"
#include "support/table_test.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

enum class target_end : std::uint8_t {
    unlisted,
    leaving,
    crashed,
    connection_only,
    /// The target refuses connections and keeps one open.
    full,
};

/// What is known of the target whose connection was lost.
struct world {
    explicit world(target_end end)
        : daemon(process::runtime::create(settings()).value()) {
        bool const listens = end == target_end::connection_only || end == target_end::full;
        acceptor.open(asio::ip::tcp::v4());
        acceptor.bind({asio::ip::address_v4::loopback(), 0});
        if (listens)
            acceptor.listen();
        if (end == target_end::unlisted)
            return;
        auto record = engine_record("t", "north-a");
        record.address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
        record.state = end == target_end::leaving ? forwarding::target_state::leaving : record.state;
        board.fleet.update_target(record, base::clock::now());
        if (end == target_end::full)
            keep_connection(record.address);
    }

    /// Leaves one idle connection to the target in the pool, and has the target refuse others.
    void keep_connection(std::string const& address) {
        asio::co_spawn(
            daemon->context(),
            [this, address]() -> asio::awaitable<void> {
                auto const connected = co_await connections.acquire(address, "earlier", 1000ms, 1000ms);
                auto const& connection = connected.value();
                http::request const message{http::beast_http::verb::get, "/", http::http_version_1_1};
                if (!co_await connection->send(message, 1000ms) || !co_await connection->read_head(1000ms))
                    co_return;
                connections.release(address, connection, {});
                acceptor.close();
            },
            asio::detached);
        std::string const answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        acceptor.async_accept(peer, [&](boost::system::error_code) { asio::write(peer, asio::buffer(answer)); });
        daemon->context().run_for(200ms);
        daemon->context().restart();
    }

    static settings::process_settings settings() {
        settings::process_settings settings;
        settings.role = settings::process_role::forwarding_entry;
        settings.name = "entry";
        settings.shared_keys = {"0123456789abcdef0123456789abcdef"};
        return settings;
    }

    /// Loses the requests together. Returns how many are told the verdict in time.
    std::size_t count_verdicts(std::size_t requests, base::milliseconds time) {
        std::size_t verdicts = 0;
        for (std::size_t number = 0; number < requests; ++number)
            asio::co_spawn(
                daemon->context(),
                [this, number]() -> asio::awaitable<void> {
                    forwarding_entry::lost_run lost{"r" + std::to_string(number), content, base::clock::now(),
                                                    base::clock::now(),           0,       false};
                    co_await detector.examine("t", std::move(lost));
                },
                [&](std::exception_ptr const& failure) { verdicts += failure == nullptr ? 1 : 0; });
        daemon->context().run_for(time);
        return verdicts;
    }

    std::unique_ptr<process::runtime> daemon;
    asio::ip::tcp::acceptor acceptor{daemon->context()};
    forwarding_entry::blackboard board{make_fleet(), forwarding::retry_bound{}};
    poison::request_content content{7, {}};
    poison_control::poison_controller suspects{*daemon, board.suspects, poison_control::processes_of_same_role};
    asio::ip::tcp::socket peer{daemon->context()};
    forwarding_entry::target_connections connections{daemon->context().get_executor()};
    forwarding_entry::agent_directory agents{daemon->hub()};
    forwarding_entry::run_witness_client witnesses{daemon->context(), daemon->hub(), agents};
    forwarding_entry::crash_detector detector{daemon->context(), board, suspects, connections, witnesses};
};

} // namespace

class crash_detector_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_detector_test);
    CPPUNIT_TEST(suspected_requests_learn_the_verdict);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a request that waits on an examination which has ended and been freed, as that of a leaving
    /// target does at once.
    void suspected_requests_learn_the_verdict() {
        struct row {
            char const* name;
            target_end end;
            std::size_t requests;
            /// Crash records afterwards, beside the one that makes the requests suspects.
            std::size_t recorded;
        };
        std::vector<row> const table{
            {"target that nobody lists", target_end::unlisted, 1, 0},
            {"target that leaves", target_end::leaving, 1, 0},
            {"several requests at a target that leaves", target_end::leaving, 3, 0},
            {"target that has crashed", target_end::crashed, 1, 1},
            {"several requests at a target that has crashed", target_end::crashed, 3, 1},
            {"target that still listens", target_end::connection_only, 2, 0},
            {"target that takes no more connections", target_end::full, 2, 0},
        };
        for_each_row(table, [](row const& tested) {
            world played{tested.end};
            played.suspects.on_crash({7, "other", 1, 0ms, 0ms});
            CPPUNIT_ASSERT_EQUAL(tested.requests, played.count_verdicts(tested.requests, 1500ms));
            auto const recorded = played.board.suspects.with(
                [](poison::crash_suspects const& table) { return table.notices(base::clock::now()).size(); });
            CPPUNIT_ASSERT_EQUAL(tested.recorded + 1, recorded);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_detector_test);

} // namespace cyclamenledge::tests
