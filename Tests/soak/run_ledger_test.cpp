#include "soak/run_ledger.h"
#include "support/table_test.h"

#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using soak::call_end;
using soak::run_ledger;

struct world {
    boost::asio::io_context context;
    run_ledger ledger;
    platform::standin::target_directory directory;
    platform::standin::target_standin target{
        context, {"orders", "domain", "127.0.0.1:1", "127.0.0.1:2", false}, directory, ledger, 1};
    platform::standin::target_standin other{
        context, {"orders", "domain", "127.0.0.1:3", "127.0.0.1:4", false}, directory, ledger, 1};

    world() {
        std::ignore = target.start(1);
        std::ignore = other.start(1);
    }

    void run_crashing(int crashes, base::duration ago, int runs,
                      soak::content_kind kind = soak::content_kind::request) {
        for (int crash = 0; crash < crashes; ++crash)
            ledger.record_crash("content", base::clock::now() - ago);
        for (int number = 0; number < runs; ++number) {
            auto const request = std::to_string(number);
            ledger.begin_call(request, false, "orders");
            ledger.mark_crashing(request, {"content", kind});
            run(request);
        }
    }
    /// Sound streams before any crash, and from so long after the last crash on, while calls that crash targets come.
    void begin_streams(int before, int beside, int began_beside, base::duration after_crash, bool stopping = false) {
        auto const now = base::clock::now();
        ledger.record_crash("content", now - after_crash);
        ledger.mark_crashing("first", {"content", soak::content_kind::prompt_part}, now - 20s);
        ledger.mark_crashing("last", {"content", soak::content_kind::prompt_part}, now + 1s);
        for (int number = 0; number < before + beside; ++number) {
            auto const request = "sound-" + std::to_string(number);
            ledger.begin_call(request, false, "engine");
            ledger.send_call(request, {0, false, false, {}, number < before ? now - 30s : now, stopping});
            if (number < before + began_beside)
                ledger.begin_answer(request);
            ledger.end_call(request, call_end::failed);
        }
        ledger.check_sound_streams();
    }
    void take_up_streams(int taken_up, int went_on, int begun) {
        for (int number = 0; number < taken_up + begun; ++number) {
            auto const request = "stream-" + std::to_string(number);
            ledger.begin_call(request, true, "engine");
            ledger.send_call(request, {0, false});
            if (number < taken_up)
                ledger.mark_taken_up(request);
            if (number < went_on || number >= taken_up)
                ledger.begin_answer(request);
            ledger.end_call(request, call_end::failed);
        }
        ledger.check_taken_up_streams();
    }
    void arrive_at_limited(int requests, base::duration named_ago) {
        ledger.name_limit(target.id(), 2, base::clock::now() - named_ago);
        for (int number = 0; number < requests; ++number)
            ledger.on_arrival(std::to_string(number), target, {});
    }
    void arrive_again(int calls, int retries) {
        for (int number = 0; number < calls; ++number)
            ledger.begin_call(std::to_string(number), true, "orders");
        for (int number = 0; number < retries; ++number) {
            ledger.on_arrival(std::to_string(number), target, {});
            ledger.on_arrival(std::to_string(number), target, {});
        }
    }
    /// An entry passes a call on that its caller sent so long ago.
    void pass_on(std::string const& request, base::duration sent_ago, bool kept = false, bool plain = true) {
        ledger.begin_call(request, false, "orders");
        ledger.send_call(request, {0, plain, kept, {2500ms, 3000ms, 1}, base::clock::now() - sent_ago});
        ledger.on_arrival(request, target, 2500ms);
        run(request);
    }
    void cut(std::string const& request) { ledger.end_call(request, call_end::broken); }
    void stop(base::duration ago) { ledger.begin_stop(0, base::clock::now() - ago); }
    void cut_unanswered(int calls, bool kept) {
        for (int number = 0; number < calls; ++number) {
            pass_on(std::to_string(number), 1s, kept);
            cut(std::to_string(number));
        }
    }
    void hand_on(int calls, std::optional<base::milliseconds> time_left) {
        for (int number = 0; number < calls; ++number) {
            auto const request = std::to_string(number);
            ledger.begin_call(request, true, "orders");
            ledger.send_call(request, {0, true, false, {2500ms, 3000ms, 2}});
            ledger.on_arrival(request, target, time_left);
        }
    }
    void run_at_both(int calls) {
        for (int number = 0; number < calls; ++number) {
            auto const request = std::to_string(number);
            ledger.begin_call(request, true, "orders");
            ledger.send_call(request, {});
            run(request);
            ledger.on_run(request, other, false);
        }
    }
    void go_on_elsewhere(bool may_run_again, bool continued, base::milliseconds overlap) {
        ledger.begin_call("a", may_run_again, "engine");
        ledger.send_call("a", {0, false});
        run("a");
        ledger.on_run("a", other, continued);
        std::this_thread::sleep_for(overlap);
        ledger.on_work_end("a", target);
        ledger.on_work_end("a", other);
    }
    void run(std::string const& request, bool continued = false) { ledger.on_run(request, target, continued); }
};

} // namespace

/// The checks of the fault soak, so that a run without findings says something.
class run_ledger_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(run_ledger_test);
    CPPUNIT_TEST(finds_broken_promises);
    CPPUNIT_TEST_SUITE_END();

public:
    void finds_broken_promises() {
        struct row {
            char const* name;
            void (*play)(world&);
            bool broken;
        };
        std::vector<row> const table{
            {"three streams of two versions",
             [](world& played) {
                 for (int number = 0; number < 3; ++number)
                     played.ledger.record_versions(2);
             },
             true},
            {"two streams of two versions",
             [](world& played) {
                 played.ledger.record_versions(2);
                 played.ledger.record_versions(2);
                 played.ledger.record_versions(1);
             },
             false},
            {"few taken-up streams go on", [](world& played) { played.take_up_streams(12, 5, 10); }, true},
            {"half of the taken-up streams go on", [](world& played) { played.take_up_streams(12, 6, 10); }, false},
            {"too few taken-up streams to judge", [](world& played) { played.take_up_streams(11, 0, 10); }, false},
            {"a part of prompts reaches targets again",
             [](world& played) { played.run_crashing(5, 5s, 4, soak::content_kind::prompt_part); }, true},
            {"a part of prompts reaches targets three times",
             [](world& played) { played.run_crashing(5, 5s, 3, soak::content_kind::prompt_part); }, false},
            {"a part of prompts after four crashes",
             [](world& played) { played.run_crashing(4, 5s, 4, soak::content_kind::prompt_part); }, false},
            {"a part of prompts just after its fifth crash",
             [](world& played) { played.run_crashing(5, 3s, 4, soak::content_kind::prompt_part); }, false},
            {"few sound streams begin beside a crashing part",
             [](world& played) { played.begin_streams(20, 20, 9, 9s); }, true},
            {"half of the sound streams begin beside it", [](world& played) { played.begin_streams(20, 20, 10, 9s); },
             false},
            {"few sound streams begin at entries that stop",
             [](world& played) { played.begin_streams(20, 20, 9, 9s, true); }, false},
            {"too few sound streams to judge", [](world& played) { played.begin_streams(20, 19, 0, 9s); }, false},
            {"sound streams soon after the crash", [](world& played) { played.begin_streams(20, 20, 0, 7s); }, false},
            {"runs once",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.run("a");
                 played.ledger.end_call("a", call_end::served);
             },
             false},
            {"runs twice",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.run("a");
                 played.run("a");
             },
             true},
            {"goes on from a copy",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.run("a");
                 played.run("a", true);
             },
             false},
            {"goes on elsewhere while its target works on",
             [](world& played) { played.go_on_elsewhere(false, true, 450ms); }, true},
            {"goes on elsewhere just before its target ends the work",
             [](world& played) { played.go_on_elsewhere(false, true, 300ms); }, false},
            {"a stream that may run again begins anew beside its target",
             [](world& played) { played.go_on_elsewhere(true, false, 450ms); }, false},
            {"goes on elsewhere through an entry that is not in touch",
             [](world& played) {
                 played.ledger.start_entry(0);
                 played.go_on_elsewhere(false, true, 450ms);
             },
             false},
            {"a read runs twice",
             [](world& played) {
                 played.ledger.begin_call("a", true, "orders");
                 played.run("a");
                 played.run("a");
             },
             false},
            {"refused after it ran",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.run("a");
                 played.ledger.end_call("a", call_end::refused);
             },
             true},
            {"runs after it was refused",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.ledger.end_call("a", call_end::refused);
                 played.run("a");
             },
             true},
            {"a crashing request runs a few times more", [](world& played) { played.run_crashing(3, 10s, 3); }, false},
            {"a crashing request runs again and again", [](world& played) { played.run_crashing(3, 10s, 4); }, true},
            {"a crashing request runs before entries can know", [](world& played) { played.run_crashing(3, 3s, 4); },
             false},
            {"a crashing request has crashed two targets", [](world& played) { played.run_crashing(2, 10s, 4); },
             false},
            {"a crashing request runs while something is harmed",
             [](world& played) {
                 played.ledger.begin_disturbance();
                 played.run_crashing(3, 10s, 4);
             },
             false},
            {"as many as a limit permits", [](world& played) { played.arrive_at_limited(17, 10s); }, false},
            {"more than a limit permits", [](world& played) { played.arrive_at_limited(18, 10s); }, true},
            {"more than a limit that entries cannot know yet", [](world& played) { played.arrive_at_limited(18, 5s); },
             false},
            {"as many retries as the bound of the service permits", [](world& played) { played.arrive_again(100, 74); },
             false},
            {"more retries than the bound of the service permits", [](world& played) { played.arrive_again(100, 75); },
             true},
            {"cut off in a planned stop before its target has finished",
             [](world& played) {
                 played.stop(2s);
                 played.pass_on("a", 1s);
                 played.cut("a");
             },
             true},
            {"a stream is cut off in a planned stop",
             [](world& played) {
                 played.stop(2s);
                 played.pass_on("a", 1s, false, false);
                 played.cut("a");
             },
             true},
            {"sent before the SIGTERM and cut off after it",
             [](world& played) {
                 played.stop(1s);
                 played.pass_on("a", 2s);
                 played.cut("a");
             },
             true},
            {"cut off in the second of two stops",
             [](world& played) {
                 played.stop(20s);
                 played.stop(2s);
                 played.pass_on("a", 1s);
                 played.cut("a");
             },
             true},
            {"cut off when the process is gone",
             [](world& played) {
                 played.stop(8500ms);
                 played.pass_on("a", 1s);
                 played.cut("a");
             },
             true},
            {"cut off later than a second after the grace time",
             [](world& played) {
                 played.stop(9500ms);
                 played.pass_on("a", 1s);
                 played.cut("a");
             },
             false},
            {"another entry is stopped",
             [](world& played) {
                 played.ledger.begin_stop(1);
                 played.pass_on("a", 1s);
                 played.cut("a");
             },
             false},
            {"no target received it",
             [](world& played) {
                 played.stop(2s);
                 played.ledger.begin_call("a", false, "orders");
                 played.ledger.send_call("a", {0, true, true, {2500ms, 3000ms, 1}});
                 played.cut("a");
             },
             false},
            {"its caller leaves in a planned stop",
             [](world& played) {
                 played.stop(2s);
                 played.pass_on("a", 1s);
                 played.ledger.end_call("a", call_end::left);
             },
             false},
            {"its target breaks off in a planned stop",
             [](world& played) {
                 played.stop(2s);
                 played.pass_on("a", 1s);
                 played.ledger.on_break_off("a");
                 played.cut("a");
             },
             false},
            {"its target breaks off in a planned stop, and another one refuses it",
             [](world& played) {
                 played.stop(2s);
                 played.pass_on("a", 1s);
                 played.ledger.on_break_off("a");
                 played.ledger.on_arrival("a", played.other, 1s);
                 played.cut("a");
             },
             false},
            {"its target breaks off in a planned stop, and another one goes on with it",
             [](world& played) {
                 played.stop(2s);
                 played.pass_on("a", 1s);
                 played.ledger.on_break_off("a");
                 played.ledger.on_arrival("a", played.other, 1s);
                 played.ledger.on_run("a", played.other, true);
                 played.cut("a");
             },
             true},
            {"its target ends in a planned stop",
             [](world& played) {
                 played.stop(2s);
                 played.pass_on("a", 1s);
                 played.ledger.on_end(played.target);
                 played.cut("a");
             },
             false},
            {"an earlier target of it ends in a planned stop",
             [](world& played) {
                 played.stop(2s);
                 played.pass_on("a", 1s);
                 played.ledger.on_arrival("a", played.other, 2500ms);
                 played.ledger.on_end(played.target);
                 played.cut("a");
             },
             true},
            {"its deadline is over in a planned stop",
             [](world& played) {
                 played.stop(4s);
                 played.pass_on("a", 2600ms);
                 played.cut("a");
             },
             false},
            {"its target needs the grace time of an early call",
             [](world& played) {
                 played.stop(7s);
                 played.ledger.begin_call("a", false, "orders");
                 played.ledger.send_call("a", {0, false, false, {15s, 20s, 1}, base::clock::now() - 4500ms});
                 played.ledger.on_arrival("a", played.target, 15s);
                 played.run("a");
                 played.cut("a");
             },
             false},
            {"its target works late on a call that was sent late",
             [](world& played) {
                 played.stop(7s);
                 played.ledger.begin_call("a", false, "orders");
                 played.ledger.send_call("a", {0, false, false, {15s, 20s, 1}, base::clock::now() - 3500ms});
                 played.ledger.on_arrival("a", played.target, 15s);
                 played.run("a");
                 played.cut("a");
             },
             true},
            {"cut off in a planned stop while something is harmed",
             [](world& played) {
                 played.ledger.begin_disturbance(soak::fault_reach::targets);
                 played.stop(2s);
                 played.pass_on("a", 1s);
                 played.cut("a");
             },
             false},
            {"cut off after a SIGHUP",
             [](world& played) {
                 played.ledger.reload_entry(0, base::clock::now() - 2s);
                 played.pass_on("a", 1s);
                 played.cut("a");
             },
             true},
            {"sent long after a SIGHUP",
             [](world& played) {
                 played.ledger.reload_entry(0, base::clock::now() - 5s);
                 played.pass_on("a", 1s);
                 played.cut("a");
             },
             false},
            {"three calls of kept connections are closed without an answer",
             [](world& played) { played.cut_unanswered(3, true); }, false},
            {"four calls of kept connections are closed without an answer",
             [](world& played) { played.cut_unanswered(4, true); }, true},
            {"four calls of kept connections are closed while a target is harmed",
             [](world& played) {
                 played.ledger.begin_disturbance(soak::fault_reach::targets);
                 played.cut_unanswered(4, true);
             },
             true},
            {"four calls of kept connections are closed while entries are harmed",
             [](world& played) {
                 played.ledger.begin_disturbance();
                 played.cut_unanswered(4, true);
             },
             false},
            {"four calls of kept connections are closed soon after a start",
             [](world& played) {
                 played.ledger.start_entry(0, base::clock::now() - 3s);
                 played.cut_unanswered(4, true);
             },
             false},
            {"four calls of new connections are closed without an answer",
             [](world& played) { played.cut_unanswered(4, false); }, false},
            {"targets are handed the time that is left", [](world& played) { played.hand_on(100, 2900ms); }, false},
            {"twenty targets are handed more time than is left", [](world& played) { played.hand_on(20, 3100ms); },
             false},
            {"targets are handed more time than is left", [](world& played) { played.hand_on(21, 3100ms); }, true},
            {"targets are handed no time", [](world& played) { played.hand_on(21, {}); }, true},
            {"three calls run at more targets than their route allows", [](world& played) { played.run_at_both(3); },
             false},
            {"four calls run at more targets than their route allows", [](world& played) { played.run_at_both(4); },
             true},
            {"calls run at another target after theirs has ended",
             [](world& played) {
                 for (int number = 0; number < 4; ++number) {
                     auto const request = std::to_string(number);
                     played.ledger.begin_call(request, true, "orders");
                     played.ledger.send_call(request, {});
                     played.run(request);
                     played.ledger.on_end(played.target);
                     played.ledger.on_run(request, played.other, false);
                 }
             },
             false},
            {"retries beyond the bound that targets refuse because they are for others",
             [](world& played) {
                 for (int number = 0; number < 100; ++number) {
                     played.ledger.begin_call(std::to_string(number), true, "orders");
                     played.ledger.on_mismatch(std::to_string(number), played.target);
                     if (number < 75)
                         played.ledger.on_arrival(std::to_string(number), played.other, {});
                 }
             },
             true},
            {"nobody sent it", [](world& played) { played.run("a"); }, true},
            {"at a target that left",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.ledger.close_target(played.target.id(), base::clock::now() - 10s);
                 played.run("a");
             },
             true},
            {"at a target that leaves",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.ledger.close_target(played.target.id(), base::clock::now() - 1s);
                 played.run("a");
             },
             false},
            {"at a target that left while the store was harmed",
             [](world& played) {
                 played.ledger.begin_call("a", false, "orders");
                 played.ledger.begin_disturbance();
                 played.ledger.close_target(played.target.id(), base::clock::now() - 10s);
                 played.run("a");
             },
             false},
        };
        for_each_row(table, [](row const& tested) {
            world played;
            tested.play(played);
            CPPUNIT_ASSERT_EQUAL(tested.broken, !played.ledger.violations().empty());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(run_ledger_test);

} // namespace cyclamenledge::tests
