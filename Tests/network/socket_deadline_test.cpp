#include "network/socket_deadline.h"
#include "support/table_test.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string_view>
#include <thread>

namespace cyclamenledge::tests {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr base::milliseconds limit{20};

/// A limit that is lifted or not, before or after it has passed.
struct deadline_case {
    std::string_view name;
    /// Time for which the event loop does not run.
    base::milliseconds blocked;
    bool lifts;
    bool expect_lifted;
    bool expect_open;
};

/// Runs the action in the event loop after half of the limit. If the loop was blocked until the limit had passed, the
/// handler of the limit is queued behind the action.
template <class Action>
void run_with_action(asio::io_context& context, base::milliseconds blocked, Action action) {
    asio::steady_timer timer{context, limit / 2};
    timer.async_wait([&action](boost::system::error_code const&) { action(); });
    std::this_thread::sleep_for(blocked);
    context.run_for(2 * limit);
}

} // namespace

class socket_deadline_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(socket_deadline_test);
    CPPUNIT_TEST(limits_close_the_socket);
    CPPUNIT_TEST(expired_limits_leave_later_sockets_alone);
    CPPUNIT_TEST_SUITE_END();

public:
    void limits_close_the_socket() {
        constexpr deadline_case cases[]{
            {"lifted in time", base::milliseconds{0}, true, true, true},
            {"lifted after it has passed", 2 * limit, true, false, false},
            {"not lifted", base::milliseconds{0}, false, false, false},
        };
        for_each_row(cases, [](auto const& row) {
            asio::io_context context;
            tcp::socket socket{context, tcp::v4()};
            network::socket_deadline deadline{context.get_executor(), socket, limit};
            bool lifted = false;
            run_with_action(context, row.blocked, [&] { lifted = row.lifts && deadline.lift(); });
            CPPUNIT_ASSERT_EQUAL(row.expect_lifted, lifted);
            CPPUNIT_ASSERT_EQUAL(row.expect_open, socket.is_open());
        });
    }

    // Guards against a corrupted heap: while a process was paused, the handshake of a connection failed and its time
    // limit passed. The handler of the limit then closed a socket that no longer existed.
    void expired_limits_leave_later_sockets_alone() {
        asio::io_context context;
        std::optional<tcp::socket> socket{std::in_place, context, tcp::v4()};
        std::optional<network::socket_deadline> deadline{std::in_place, context.get_executor(), *socket, limit};
        run_with_action(context, 2 * limit, [&] {
            deadline.reset();
            socket.emplace(context, tcp::v4());
        });
        CPPUNIT_ASSERT_MESSAGE("the limit of an ended socket closed the next one", socket->is_open());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(socket_deadline_test);

} // namespace cyclamenledge::tests
