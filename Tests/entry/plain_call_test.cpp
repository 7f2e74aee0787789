#include "entry/plain_call.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace cyclamenledge::tests {

using catalogue::call_semantics;

/// Guards guarantee 6 at the entry: a call that may have an effect is never taken for an idempotent one.
class plain_call_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(plain_call_test);
    CPPUNIT_TEST(splits_paths);
    CPPUNIT_TEST(applies_rules);
    CPPUNIT_TEST(withholds_headers);
    CPPUNIT_TEST(checks_keys);
    CPPUNIT_TEST(fingerprints_differ);
    CPPUNIT_TEST_SUITE_END();

    static catalogue::service shop() {
        catalogue::service service;
        service.name = "orders";
        service.kind = catalogue::service_kind::plain;
        service.call_rules = {{"POST", "/stock/reserve", call_semantics::non_idempotent},
                              {"GET", "/stock", call_semantics::idempotent},
                              {"POST", "/stock", call_semantics::idempotent}};
        return service;
    }

    static http::request post(std::string const& body, std::string const& key) {
        http::request received{http::beast_http::verb::post, "/v1/services/orders/orders", 11};
        received.body() = body;
        if (!key.empty())
            received.set("Idempotency-Key", key);
        return received;
    }

    // Failure: a call reaches another service or path than the caller named.
    void splits_paths() {
        struct row {
            char const* name;
            char const* target;
            char const* service;
            char const* path;
        };
        constexpr row rows[] = {{"path and query", "/v1/services/orders/a/b?c=d", "orders", "/a/b?c=d"},
                                {"service only", "/v1/services/orders", "orders", "/"},
                                {"query only", "/v1/services/orders?c=d", "orders", "/?c=d"}};
        for_each_row(rows, [](row const& item) {
            auto const parsed = parse(item.target);
            CPPUNIT_ASSERT(parsed);
            CPPUNIT_ASSERT_EQUAL(std::string(item.service), parsed.value().service);
            CPPUNIT_ASSERT_EQUAL(std::string(item.path), parsed.value().path);
        });
        CPPUNIT_ASSERT(!parse("/v1/services/"));
        CPPUNIT_ASSERT(!parse("/v1/services//a"));
    }

    static base::result<entry::service_path> parse(char const* target) { return entry::parse_service_path(target); }

    // Failure: a path that the service reads as an order is matched by the rule of a read.
    void applies_rules() {
        struct row {
            char const* name;
            char const* method;
            char const* path;
            call_semantics expected;
        };
        constexpr auto safe = call_semantics::idempotent;
        constexpr auto unsafe = call_semantics::non_idempotent;
        constexpr row rows[] = {{"rule", "GET", "/stock", safe},
                                {"below a rule", "GET", "/stock/candles", safe},
                                {"query", "GET", "/stock?x=/../y", safe},
                                {"first rule", "POST", "/stock/reserve/7", unsafe},
                                {"second rule", "POST", "/stock/count", safe},
                                {"other method", "DELETE", "/stock", unsafe},
                                {"method in lower case", "get", "/stock", unsafe},
                                {"no rule", "GET", "/orders", unsafe},
                                {"only the same beginning", "GET", "/stockpile", unsafe},
                                {"dot segments", "GET", "/stock/../orders", unsafe},
                                {"encoded dots", "GET", "/stock/%2e%2e/orders", unsafe},
                                {"encoded slash", "POST", "/stock%2freserve", unsafe},
                                {"empty segment", "POST", "/stock//reserve", unsafe},
                                {"path parameter", "POST", "/stock/;/reserve", unsafe}};
        for_each_row(rows, [](row const& item) {
            CPPUNIT_ASSERT(entry::semantics_of(shop(), item.method, item.path) == item.expected);
        });
    }

    // Failure: a target sees a bearer key, or runs another method than the one that the rules have judged.
    void withholds_headers() {
        http::request received{http::beast_http::verb::get, "/v1/services/orders/stock", 11};
        for (auto const* name : {"Authorization", "Transfer-Encoding", "Keep-Alive", "X-Request-Deadline-Ms", "Host",
                                 "X-HTTP-Method-Override", "X-Listed"})
            received.set(name, "secret");
        received.set("Connection", "close, x-listed");
        received.set("Accept-Language", "fj");
        auto const headers = entry::forwarded_headers(received);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, headers.size());
        CPPUNIT_ASSERT_EQUAL(std::string("Accept-Language"), headers.front().name);
    }

    // Failure: a call that is not idempotent passes without a key, or with two.
    void checks_keys() {
        auto const missing = entry::make_plain_call(shop(), "/orders", post("a", ""));
        CPPUNIT_ASSERT(missing.error().kind == base::error_kind::missing_idempotency_key);
        auto twice = post("a", "one");
        twice.insert("Idempotency-Key", "two");
        CPPUNIT_ASSERT(entry::make_plain_call(shop(), "/orders", twice).error().kind == base::error_kind::bad_request);
        CPPUNIT_ASSERT(entry::make_plain_call(shop(), "/orders", post("a", "one")).value().key->text() == "one");
    }

    // Failure: a key is joined with a call that differs in method, path or body.
    void fingerprints_differ() {
        auto const of = [](char const* path, http::request const& received) {
            return entry::make_plain_call(shop(), path, received).value().fingerprint;
        };
        auto put = post("a", "k");
        put.method(http::beast_http::verb::put);
        auto const first = of("/orders", post("a", "k"));
        CPPUNIT_ASSERT_EQUAL(first, of("/orders", post("a", "other")));
        CPPUNIT_ASSERT(first != of("/orders", post("b", "k")));
        CPPUNIT_ASSERT(first != of("/orders?x", post("a", "k")));
        CPPUNIT_ASSERT(first != of("/orders", put));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plain_call_test);

} // namespace cyclamenledge::tests
