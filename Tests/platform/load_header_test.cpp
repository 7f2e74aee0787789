#include "platform/operator_documents.h"
#include "platform/request_headers.h"
#include "platform/target_documents.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

class load_header_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_header_test);
    CPPUNIT_TEST(stated_loads);
    CPPUNIT_TEST(pause_objectives);
    CPPUNIT_TEST(events_of_running_requests);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a pace that is taken from a malformed figure, and against a header without a pace that counts as
    // malformed.
    void stated_loads() {
        struct row {
            char const* name;
            char const* value;
            bool load;
            std::optional<double> pace;
            bool malformed;
        };
        std::vector<row> const table{
            {"usual pace", "2,1,6,100", true, 1.0, false},
            {"fast", "2,1,6,70", true, 0.7, false},
            {"spaces", " 2, 1 ,6 ,\t70 ", true, 0.7, false},
            {"three figures", "2,1,6", true, {}, false},
            {"empty", "", false, {}, false},
            {"blank", "  ", false, {}, false},
            {"pace 0", "2,1,6,0", true, {}, true},
            {"negative pace", "2,1,6,-70", true, {}, true},
            {"pace of 1e9", "2,1,6,1000000000", true, {}, true},
            {"pace with an exponent", "2,1,6,1e9", true, {}, true},
            {"pace beyond 32 bits", "2,1,6,99999999999", true, {}, true},
            {"fraction as pace", "2,1,6,70.5", true, {}, true},
            {"text as pace", "2,1,6,slow", true, {}, true},
            {"empty pace", "2,1,6,", true, {}, true},
            {"no number as pace", "2,1,6,nan", true, {}, true},
            {"text", "idle", false, {}, true},
            {"two figures", "2,1", false, {}, true},
            {"five figures", "2,1,6,100,7", false, {}, true},
            {"many figures", "2,1,6,100,7,8,9", false, {}, true},
            {"negative count", "-2,1,6,100", false, {}, true},
            {"count of 1e9", "2,1000000000,6,100", false, {}, true},
            {"no slots", "2,1,0,100", false, {}, true},
            {"empty figures", ",,,", false, {}, true},
        };
        for_each_row(table, [](row const& tested) {
            http::response_head head;
            head.result(200);
            head.set("x-server-load", tested.value);
            auto const answer = platform::decode_answer(head);
            CPPUNIT_ASSERT_EQUAL(tested.load, answer.load.has_value());
            CPPUNIT_ASSERT(tested.pace == (answer.load ? answer.load->pace : std::nullopt));
            CPPUNIT_ASSERT_EQUAL(tested.malformed, answer.load_malformed);
            if (answer.load) {
                CPPUNIT_ASSERT_EQUAL(2U, answer.load->running);
                CPPUNIT_ASSERT_EQUAL(1U, answer.load->waiting);
                CPPUNIT_ASSERT_EQUAL(6U, answer.load->slots);
            }
        });
        auto const silent = platform::decode_answer(http::response_head{});
        CPPUNIT_ASSERT(!silent.load && !silent.load_malformed);
    }

    // Guards against an objective of a route that is missed, and against one that other values turn into a bound.
    void pause_objectives() {
        struct row {
            char const* name;
            char const* member;
            int milliseconds;
        };
        std::vector<row> const table{{"stated", R"(,"gapAimMs":180)", 180},
                                     {"none", "", 0},
                                     {"negative", R"(,"gapAimMs":-1)", 0},
                                     {"text", R"(,"gapAimMs":"180")", 0}};
        for_each_row(table, [](row const& tested) {
            auto const routes = platform::decode_configuration(
                R"({"version":1,"routes":[{"name":"a","hostname":"h","prefix":"/a/","service":"s")" +
                std::string{tested.member} + "}]}");
            CPPUNIT_ASSERT(routes.value()->find_route("h", "/a/")->pause_objective ==
                           base::milliseconds{tested.milliseconds});
        });
    }

    // Guards against reports of older engines that are refused because they list no events.
    void events_of_running_requests() {
        struct row {
            char const* name;
            char const* runs;
            std::uint32_t events;
        };
        std::vector<row> const table{{"listed", R"(["a",3012,3,1])", 3},
                                     {"not listed", R"(["a",3012])", 0},
                                     {"text", R"(["a",3012,"3",1])", 0},
                                     {"negative", R"(["a",3012,-3,1])", 0}};
        for_each_row(table, [](row const& tested) {
            auto const report =
                platform::decode_engine_report(R"({"kvTotal":900,"runs":[)" + std::string{tested.runs} + "]}");
            CPPUNIT_ASSERT(report.has_value());
            CPPUNIT_ASSERT_EQUAL(tested.events, report.value().generating.front().events);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_header_test);

} // namespace cyclamenledge::tests
