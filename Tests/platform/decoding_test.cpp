#include "platform/operator_documents.h"
#include "platform/request_headers.h"
#include "platform/target_documents.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

http::request caller_message() {
    http::request message{http::beast_http::verb::post, "/a/b?c=d", http::http_version_1_1};
    message.set("Host", "h");
    message.set("X-Request-Id", "r1");
    message.set("X-Token-Count", "1460,80");
    message.set("X-Deadline-Ms", "39000");
    message.set("Authorization", "Bearer key");
    message.body() = "body";
    message.prepare_payload();
    return message;
}

} // namespace

class decoding_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(decoding_test);
    CPPUNIT_TEST(targets);
    CPPUNIT_TEST(addresses_are_written_anew);
    CPPUNIT_TEST(engine_reports);
    CPPUNIT_TEST(configuration);
    CPPUNIT_TEST(organisations_whose_name_would_end_a_header_have_no_keys);
    CPPUNIT_TEST(caller_requests);
    CPPUNIT_TEST(shared_prompt_parts);
    CPPUNIT_TEST(forwarded_requests);
    CPPUNIT_TEST(answers);
    CPPUNIT_TEST(request_limits);
    CPPUNIT_TEST(target_notices);
    CPPUNIT_TEST(return_times_of_targets_are_not_forwarded);
    CPPUNIT_TEST(refusals_have_statuses_that_callers_take_as_not_run);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against using a target by an announcement that another writer stored or that is incomplete.
    void targets() {
        struct row {
            char const* name;
            char const* text;
            bool accepted;
        };
        std::string const deeply_nested =
            R"({"service":)" + std::string(100'000, '[') + std::string(100'000, ']') + "}";
        std::vector<row> const table{
            {"whole",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":24,"state":"ready","coldLeftMs":5,"born":7})",
             true},
            {"leaving", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":24,"state":"draining"})", true},
            {"unknown state", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":24,"state":"odd"})", false},
            {"no state", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":24})", false},
            {"number as a service", R"({"service":1,"address":"10.0.0.1:80","zone":"z","slots":24,"state":"ready"})",
             false},
            {"host name", R"({"service":"s","address":"host:80","zone":"z","slots":24,"state":"ready"})", false},
            {"text as slots", R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":"24","state":"ready"})",
             false},
            {"broken start time",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":24,"state":"ready","born":7.5})", false},
            {"start time beyond every number",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":24,"state":"ready","born":1e300})", false},
            {"start time before 1970",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":24,"state":"ready","born":-7})", false},
            {"sequence beyond every number",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":24,"state":"ready","seq":1e300})", false},
            {"sequence with a fraction",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":24,"state":"ready","seq":1.5})", false},
            {"large sequence",
             R"({"service":"s","address":"10.0.0.1:80","zone":"z","slots":24,"state":"ready","seq":18446744073709551615})",
             true},
            {"port 0", R"({"service":"s","address":"10.0.0.1:0","zone":"z","slots":24,"state":"ready"})", false},
            {"port 65536", R"({"service":"s","address":"10.0.0.1:65536","zone":"z","slots":24,"state":"ready"})",
             false},
            {"negative port", R"({"service":"s","address":"10.0.0.1:-1","zone":"z","slots":24,"state":"ready"})",
             false},
            {"deeply nested", deeply_nested.c_str(), false},
            {"not an object", "[]", false},
            {"not JSON", "\x01\x02", false},
            {"empty", "", false},
        };
        for_each_row(table, [](row const& tested) {
            CPPUNIT_ASSERT_EQUAL(tested.accepted, platform::decode_target("id", tested.text).has_value());
        });
        auto const record = platform::decode_target("id", table.front().text).value();
        CPPUNIT_ASSERT(record.state == forwarding::target_state::serving);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, record.started_at);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{5}, static_cast<std::int64_t>(record.cold_left.count()));
    }

    // Guards against an address that is read as a sound one although other text stands in it, which becomes part of the
    // headers that name the target to others.
    void addresses_are_written_anew() {
        struct row {
            char const* name;
            char const* address;
            bool accepted;
        };
        std::vector<row> const table{
            {"usual", "10.0.0.1:80", true},
            {"IPv6", "[fd00::1]:80", true},
            {"IPv6 with a zone", "[fe80::1%1]:80", true},
            {"NUL inside", R"(10.0.0.1\u0000\r\nX-Injected: 1:80)", true},
            {"line end inside", R"(10.0.0.1\r\nX-Injected: 1:80)", false},
            {"line end in the zone", R"([fe80::1%1\r\nX-Injected: 1]:80)", true},
            {"line end behind the port", R"(10.0.0.1:80\r\nX-Injected: 1)", false},
        };
        for_each_row(table, [](row const& tested) {
            auto const text = std::string{R"({"service":"s","zone":"z","slots":24,"state":"ready","address":")"} +
                              tested.address + R"("})";
            auto const record = platform::decode_target("id", text);
            CPPUNIT_ASSERT_EQUAL(tested.accepted, record.has_value());
            if (record)
                CPPUNIT_ASSERT_EQUAL(std::string::npos, record.value().address.find("X-Injected"));
        });
        auto const usual =
            std::string{R"({"service":"s","zone":"z","slots":24,"state":"ready","address":"10.0.0.1:80"})"};
        CPPUNIT_ASSERT_EQUAL(std::string{"10.0.0.1:80"}, platform::decode_target("id", usual).value().address);
    }

    void engine_reports() {
        auto const report = platform::decode_engine_report(
            R"({"queued":2,"active":3,"kvUsed":100,"kvTotal":900,"runs":[["a",1,2,5]],"state":"draining","leaves_ms":345})");
        CPPUNIT_ASSERT(report.has_value());
        CPPUNIT_ASSERT(report.value().leaving);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{345}, static_cast<std::int64_t>(report.value().leaves_in->count()));
        CPPUNIT_ASSERT_EQUAL(2U, report.value().reading);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, report.value().generating.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"a"}, report.value().generating.front().request);
        CPPUNIT_ASSERT_EQUAL(1U, report.value().generating.front().tokens);
        CPPUNIT_ASSERT(!platform::decode_engine_report(R"({"kvTotal":900,"runs":[["a"]]})").has_value());
        CPPUNIT_ASSERT(!platform::decode_engine_report("{}").has_value());
    }

    // Guards against a name from which headers of requests are made. The other organisations keep their keys, and
    // requests without a key stay refused.
    void organisations_whose_name_would_end_a_header_have_no_keys() {
        struct row {
            char const* name;
            char const* organisation;
            bool usable;
        };
        std::vector<row> const table{
            {"usual", "huka270", true},
            {"blank and letters beyond ASCII", "H\u00fcka & Co + 1", true},
            {"line end", R"(o\r\nX-Injected: 1)", false},
            {"NUL", R"(o\u0000)", false},
            {"blank at the end", "o ", false},
        };
        for_each_row(table, [](row const& tested) {
            auto const routes = platform::decode_configuration(
                std::string{R"({"version":7,"tenants":[{"name":")"} + tested.organisation +
                R"(","apiKeys":["odd"]},{"name":"sound","apiKeys":["key"]}]})");
            CPPUNIT_ASSERT(routes.has_value());
            CPPUNIT_ASSERT_EQUAL(tested.usable, routes.value()->find_organisation("odd") != nullptr);
            CPPUNIT_ASSERT(routes.value()->find_organisation("key") != nullptr);
            CPPUNIT_ASSERT(routes.value()->requires_key());
        });
    }

    // Guards against requests of an unknown kind that are run twice.
    void configuration() {
        auto const routes = platform::decode_configuration(R"({"version":7,"routes":[
            {"name":"a","hostname":"h","prefix":"/a/","routeKind":"streaming","resumable":true,"service":"s"},
            {"name":"b","hostname":"h","prefix":"/b/","routeKind":"streaming",
             "trafficSplit":[{"service":"s","weight":90},{"service":"t","weight":10}]},
            {"name":"c","hostname":"h","prefix":"/c/","routeKind":"idempotent","service":"s","maxAttempts":2},
            {"name":"d","hostname":"h","prefix":"/d/","routeKind":"new","service":"s"}],
            "services":[{"name":"s","coldS":1.5,"engine":{"slots":24,"kvCapacity":900,"moves":true,"handleS":5}}],
            "tenants":[{"name":"o","apiKeys":["k1","k2"]}],"limits":{"headerBytes":999}})");
        CPPUNIT_ASSERT(routes.has_value());
        struct row {
            char const* name;
            forwarding::request_kind kind;
            bool may_run_again;
        };
        using enum forwarding::request_kind;
        std::vector<row> const table{{"/a/", resumable_stream, true},
                                     {"/b/", stream, false},
                                     {"/c/", idempotent, true},
                                     {"/d/", non_idempotent, false}};
        for_each_row(table, [&](row const& tested) {
            auto const* route = routes.value()->find_route("h", tested.name);
            CPPUNIT_ASSERT(route != nullptr && route->kind == tested.kind);
            CPPUNIT_ASSERT_EQUAL(tested.may_run_again, forwarding::may_run_again(route->kind));
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, routes.value()->find_route("h", "/b/")->services.size());
        CPPUNIT_ASSERT_EQUAL(std::string{"o"}, routes.value()->find_organisation("k2")->name);
        CPPUNIT_ASSERT(routes.value()->find_organisation("k3") == nullptr);
        CPPUNIT_ASSERT_EQUAL(900U, routes.value()->find_service("s")->engine->memory_tokens);
        CPPUNIT_ASSERT_EQUAL(999U, routes.value()->limits().header_bytes);
        CPPUNIT_ASSERT(!platform::decode_configuration("{}").has_value());
    }

    void caller_requests() {
        struct row {
            char const* name;
            char const* header;
            char const* value;
            bool accepted;
        };
        std::vector<row> const table{
            {"as sent", "X-Other", "1", true},         {"no id", "X-Request-Id", "", false},
            {"deadline", "X-Deadline-Ms", "x", false}, {"negative deadline", "X-Deadline-Ms", "-1", false},
            {"tokens", "X-Token-Count", "a,b", false}, {"event", "Last-Event-Id", "x", false},
            {"odd hint", "X-Length-Hint", "x", true},
        };
        for_each_row(table, [](row const& tested) {
            auto message = caller_message();
            message.set(tested.header, tested.value);
            CPPUNIT_ASSERT_EQUAL(tested.accepted, platform::decode_caller_request(message).has_value());
        });
        auto const decoded = platform::decode_caller_request(caller_message()).value();
        CPPUNIT_ASSERT_EQUAL(std::string{"key"}, decoded.api_key);
        CPPUNIT_ASSERT_EQUAL(1460U, decoded.size->prompt);
    }

    // Guards against a part that is not recognised because another request names it in another place or way, and
    // against refusing requests with an odd list, which the target judges.
    void shared_prompt_parts() {
        struct row {
            char const* name;
            char const* value;
            std::vector<std::string> parts;
        };
        std::vector<row> const table{
            {"none", "", {}},
            {"one, which is the request's own", "e4402b7d:250", {}},
            {"three", "5c1e07a2:800,91bd3f06:410,e4402b7d:250", {"5c1e07a2", "91bd3f06"}},
            {"capitals and spaces", "5C1E07A2:800, 91bd3f06 :410,e4402b7d:250", {"5c1e07a2", "91bd3f06"}},
            {"repeated", "5c1e07a2:800,5c1e07a2:800,e4402b7d:250", {"5c1e07a2"}},
            {"without sizes", "5c1e07a2,91bd3f06,e4402b7d", {"5c1e07a2", "91bd3f06"}},
            {"empty items", ",:4,91bd3f06:410,", {"91bd3f06"}},
        };
        for_each_row(table, [](row const& tested) {
            auto message = caller_message();
            message.set("X-Prefix-Hash", tested.value);
            CPPUNIT_ASSERT(tested.parts == platform::decode_caller_request(message).value().shared_prompt_parts);
        });
        auto message = caller_message();
        std::string many;
        for (int number = 0; number < 1000; ++number)
            many += std::to_string(number) + ":1,";
        message.set("X-Prefix-Hash", many);
        CPPUNIT_ASSERT_EQUAL(std::size_t{64},
                             platform::decode_caller_request(message).value().shared_prompt_parts.size());
    }

    // Guards against forwarding API keys and headers that only the system may set.
    void forwarded_requests() {
        auto message = caller_message();
        for (auto const* name : {"X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch", "X-Tenant",
                                 "X-Request-Priority", "X-Expect-Version", "X-Private"})
            message.set(name, "forged");
        message.set("Connection", "keep-alive, X-Private");
        platform::forwarded_context context;
        context.time_left = base::milliseconds{1200};
        context.target = "i-1";
        context.organisation = "o";
        auto const sent = platform::encode_forwarded(message, context);
        struct row {
            char const* name;
            char const* value;
        };
        std::vector<row> const table{
            {"X-Hold", ""},         {"X-Pin-Ms", ""},           {"X-Kv-Backup", ""},
            {"Kv-From", ""},        {"Kv-Fetch", ""},           {"X-Private", ""},
            {"Authorization", ""},  {"X-Request-Priority", ""}, {"X-Expect-Version", ""},
            {"Connection", ""},     {"X-Tenant", "o"},          {"X-Expect-Instance", "i-1"},
            {"X-Request-Id", "r1"}, {"X-Deadline-Ms", "1200"},  {"X-Token-Count", "1460,80"},
            {"Host", "h"},          {"Content-Length", "4"},
        };
        for_each_row(table, [&](row const& tested) {
            CPPUNIT_ASSERT_EQUAL(std::string{tested.value}, std::string{http::header_value(sent, tested.name)});
        });
        CPPUNIT_ASSERT_EQUAL(std::string{"/a/b?c=d"}, std::string{sent.target()});
        context.resume_from = platform::memory_copy{"10.0.0.1:80", "h1"};
        context.resume_after = 41;
        auto const resumed = platform::encode_forwarded(message, context);
        CPPUNIT_ASSERT_EQUAL(std::string{"10.0.0.1:80/h1"}, std::string{http::header_value(resumed, "Kv-From")});
        CPPUNIT_ASSERT_EQUAL(std::string{"41"}, std::string{http::header_value(resumed, "Last-Event-Id")});
    }

    // Guards against a refusal that is treated as a run, and against a run that is treated as a refusal.
    void answers() {
        struct row {
            char const* name;
            unsigned status;
            char const* header;
            bool not_run;
            bool other_target;
            bool unproven_refusal;
        };
        std::vector<row> const table{{"refused", 503, "X-Not-Executed", true, false, false},
                                     {"failed with the status of a refusal", 503, "X-Other", false, false, true},
                                     {"too many requests, without a statement", 429, "X-Other", false, false, true},
                                     {"other target", 421, "X-Other", true, true, false},
                                     {"timed out", 504, "X-Other", false, false, false},
                                     {"success", 200, "X-Other", false, false, false}};
        for_each_row(table, [](row const& tested) {
            http::response_head head;
            head.result(tested.status);
            head.set(tested.header, "1");
            head.set("Keep-Alive", "timeout=5, max=100");
            auto const answer = platform::decode_answer(head);
            CPPUNIT_ASSERT_EQUAL(tested.not_run, answer.not_run);
            CPPUNIT_ASSERT_EQUAL(tested.other_target, answer.other_target);
            CPPUNIT_ASSERT_EQUAL(tested.unproven_refusal, answer.unproven_refusal);
            CPPUNIT_ASSERT(answer.idle_timeout == base::seconds{5});
            CPPUNIT_ASSERT(!answer.stamped);
        });
    }

    // Guards against a limit that is missed in a refusal, and against a malformed one that counts as none.
    void request_limits() {
        struct row {
            char const* name;
            unsigned status;
            char const* header;
            char const* value;
            std::optional<double> limit;
            bool malformed;
        };
        std::vector<row> const table{{"none", 200, "X-Other", "1", {}, false},
                                     {"decimal", 200, "Server-Limit", "3.7", 3.7, false},
                                     {"in a refusal", 503, "server-limit", "12", 12, false},
                                     {"takes nothing", 503, "Server-Limit", "0", 0, false},
                                     {"negative", 200, "Server-Limit", "-1", {}, true},
                                     {"not finite", 200, "Server-Limit", "inf", {}, true},
                                     {"no number", 200, "Server-Limit", "4/s", {}, true}};
        for_each_row(table, [](row const& tested) {
            http::response_head head;
            head.result(tested.status);
            head.set(tested.header, tested.value);
            auto const answer = platform::decode_answer(head);
            CPPUNIT_ASSERT(tested.limit == answer.request_limit);
            CPPUNIT_ASSERT_EQUAL(tested.malformed, answer.request_limit_malformed);
        });
    }

    // Guards against a notice that is missed, or read where the target gives none.
    void target_notices() {
        struct row {
            char const* name;
            unsigned status;
            char const* header;
            char const* value;
            bool leaving;
            std::optional<base::milliseconds> hold_off;
        };
        std::vector<row> const table{
            {"none", 200, "X-Other", "1", false, {}},
            {"leaves, in a success", 200, "Server-Leaving", "1", true, {}},
            {"leaves, in a refusal", 503, "server-leaving", "1", true, {}},
            {"leaves, in a failure", 500, "Server-Leaving", "1", true, {}},
            {"does not leave", 200, "Server-Leaving", "0", false, {}},
            {"whole seconds", 503, "Retry-After", "3", false, base::milliseconds{3000}},
            {"fraction", 503, "retry-after", "0.4", false, base::milliseconds{400}},
            {"below a millisecond", 503, "Retry-After", "0.0001", false, base::milliseconds{1}},
            {"no refusal", 200, "Retry-After", "3", false, {}},
            {"other refusal", 429, "Retry-After", "3", false, {}},
            {"empty", 503, "Retry-After", "", false, {}},
            {"zero", 503, "Retry-After", "0", false, {}},
            {"negative", 503, "Retry-After", "-2", false, {}},
            {"no number", 503, "Retry-After", "soon", false, {}},
            {"a date", 503, "Retry-After", "Fri, 04 Dec 2026 12:00:00 GMT", false, {}},
            {"not finite", 503, "Retry-After", "inf", false, {}},
            {"no value", 503, "Retry-After", "nan", false, {}},
            {"too large", 503, "Retry-After", "1e300", false, std::chrono::hours{24}}};
        for_each_row(table, [](row const& tested) {
            http::response_head head;
            head.result(tested.status);
            head.set(tested.header, tested.value);
            auto const notices = platform::decode_answer(head).notices;
            CPPUNIT_ASSERT_EQUAL(tested.leaving, notices.leaving);
            CPPUNIT_ASSERT(tested.hold_off == notices.hold_off);
        });
    }

    // Guards against a target's time to return, which is for the entry that it refused, in the answer to a caller.
    void return_times_of_targets_are_not_forwarded() {
        CPPUNIT_ASSERT(!platform::is_forwarded_answer_header("retry-after"));
        CPPUNIT_ASSERT(platform::is_forwarded_answer_header("X-Response-Stamp"));
    }

    // Guards against a refusal that callers count as a wrong answer to a request that the configuration allows.
    void refusals_have_statuses_that_callers_take_as_not_run() {
        struct row {
            char const* name;
            base::error_kind kind;
            unsigned status;
        };
        std::vector<row> const table{{"crashes targets", base::error_kind::poison_request, 503},
                                     {"no room", base::error_kind::overloaded, 503},
                                     {"no target", base::error_kind::no_target, 503},
                                     {"no route", base::error_kind::not_found, 404},
                                     {"no key", base::error_kind::unauthorised, 401},
                                     {"connection lost", base::error_kind::link_lost, 502}};
        for_each_row(table, [](row const& tested) {
            CPPUNIT_ASSERT_EQUAL(tested.status, platform::status_for_caller(tested.kind));
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decoding_test);

} // namespace cyclamenledge::tests
