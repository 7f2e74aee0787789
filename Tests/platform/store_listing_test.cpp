#include "network/endpoint.h"
#include "platform/store_client.h"
#include "support/platform/odd_names.h"
#include "support/platform/store_standin.h"
#include "support/table_test.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <string>
#include <tuple>
#include <unistd.h>
#include <utility>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using forwarding::publication_listing;
using platform::store_part;

constexpr base::milliseconds time_limit{1000};

asio::awaitable<void> watch(asio::io_context& context, asio::ip::tcp::endpoint store,
                            std::optional<base::result<platform::store_changes>>& seen) {
    platform::store_client client{context.get_executor(), store, store_part::targets};
    forwarding::store_revision const after{0, 5};
    seen = co_await client.watch(after, time_limit, time_limit);
    context.stop();
}

/// An address of this process alone, so that runs at the same time do not meet.
std::string store_address() {
    auto const process = static_cast<unsigned>(::getpid());
    return "127.61." + std::to_string(process / 250 % 250) + "." + std::to_string(process % 250 + 1) + ":18932";
}

using listing_result = std::optional<base::result<publication_listing>>;

asio::awaitable<void> list(asio::io_context& context, asio::ip::tcp::endpoint store, store_part part,
                           listing_result& seen) {
    platform::store_client client{context.get_executor(), store, part};
    seen = co_await client.list(time_limit);
    context.stop();
}

/// Answers one call after the other with the given bodies, and the last one again and again.
class scripted_store : public http::request_handler {
public:
    scripted_store(asio::io_context& context, std::vector<std::string> pages)
        : server_(context, {}, *this)
        , pages_(std::move(pages)) {}

    base::result<void> listen(std::string const& address) { return server_.listen(address); }

    asio::awaitable<void> handle(http::session_pointer client, http::request) override {
        auto const number = std::min(calls_++, pages_.size() - 1);
        std::ignore = co_await client->send(http::make_response(200, "application/json", pages_.at(number)));
    }

private:
    http::server server_;
    std::vector<std::string> pages_;
    std::size_t calls_{0};
};

std::string page(std::string const& items, bool truncated) {
    return R"({"asOf":7,"truncated":)" + std::string{truncated ? "true" : "false"} + R"(,"items":[)" + items + "]}";
}

/// An item whose value is the base64 text of an empty JSON object. The key is written as it is.
std::string item(std::string const& name) {
    return R"({"key":"servers/)" + name + R"(","value":"e30=","revision":5})";
}

struct odd_item {
    char const* name;
    std::string item;
};

std::vector<odd_item> odd_items() {
    std::string const value(400'000, 'A');
    return {
        {"key that is not UTF-8", item("\xff\xfe")},
        {"key with half a letter", item("\xc3")},
        {"key with half a surrogate pair", item(R"(\ud83c)")},
        {"key with the other half", item(R"(\udf88)")},
        {"key with both halves in the wrong order", item(R"(\udf88\ud83c)")},
        {"key with a pair and a half", item(R"(\ud83c\udf88\ud83c)")},
        {"key with a backslash before u", item(R"(\\ud83c)")},
        {"key that is a number", R"({"key":7,"value":"e30=","revision":5})"},
        {"no key", R"({"value":"e30=","revision":5})"},
        {"value that is not base64", R"({"key":"servers/o","value":"*","revision":5})"},
        {"value that is not UTF-8", "{\"key\":\"servers/o\",\"value\":\"\xff\",\"revision\":5}"},
        {"large value", R"({"key":"servers/o","value":")" + value + R"(","revision":5})"},
        {"revision that is a text", R"({"key":"servers/o","value":"e30=","revision":"5"})"},
        {"item that is no object", "[]"},
    };
}

} // namespace

/// Guards against listings of the store that do not go on behind an item of another writer.
class store_listing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_listing_test);
    CPPUNIT_TEST(listings_go_on_behind_odd_keys);
    CPPUNIT_TEST(odd_items_cost_no_others);
    CPPUNIT_TEST(odd_changes_cost_no_others);
    CPPUNIT_TEST(listings_that_do_not_go_on_have_a_gap);
    CPPUNIT_TEST(large_values_cost_no_others);
    CPPUNIT_TEST_SUITE_END();

public:
    // The odd key is the last one of a page in each case, because a page holds one item.
    void listings_go_on_behind_odd_keys() {
        for (auto const part : {store_part::operators, store_part::targets}) {
            for_each_row(platform::standin::odd_names(), [part](platform::standin::odd_name const& tested) {
                std::vector<std::string> const names{"!first", tested.text, "z-last"};
                for (std::size_t const page_size : {1U, 2U}) {
                    asio::io_context context;
                    platform::standin::store_standin store{context};
                    CPPUNIT_ASSERT(store.listen(store_address()).has_value());
                    store.set_page_size(page_size);
                    for (auto const& name : names)
                        put(store, part, name);
                    auto const listing = list_all(context, part);
                    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, store.malformed_calls());
                    CPPUNIT_ASSERT_EQUAL(std::string{}, listing.gap);
                    CPPUNIT_ASSERT_EQUAL(names.size(), listing.items.size());
                    for (auto const& name : names)
                        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                                             std::ranges::count(listing.items, name, &forwarding::publication::name));
                }
            });
        }
    }

    void odd_items_cost_no_others() {
        for_each_row(odd_items(), [](odd_item const& tested) {
            // The odd item ends a page, stands inside one, and ends the listing.
            auto const listing = list_pages({page(item("a") + "," + tested.item, true),
                                             page(item("b") + "," + tested.item + "," + item("c"), true),
                                             page(item("d") + "," + tested.item, false)});
            CPPUNIT_ASSERT_MESSAGE(listing ? "" : listing.error().message, listing.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string{}, listing.value().gap);
            for (auto const* name : {"a", "b", "c", "d"})
                CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, std::ranges::count(listing.value().items, std::string{name},
                                                                           &forwarding::publication::name));
        });
    }

    void odd_changes_cost_no_others() {
        for_each_row(odd_items(), [](odd_item const& tested) {
            asio::io_context context;
            scripted_store store{context,
                                 {R"({"asOf":9,"events":[)" + item("a") + "," + tested.item + "," + item("b") + "]}"}};
            CPPUNIT_ASSERT(store.listen(store_address()).has_value());
            std::optional<base::result<platform::store_changes>> seen;
            auto const address = network::parse_endpoint(store_address()).value();
            asio::co_spawn(context, watch(context, address, seen), asio::detached);
            context.run_for(10s);
            CPPUNIT_ASSERT(seen.has_value());
            CPPUNIT_ASSERT_MESSAGE(*seen ? "" : seen->error().message, seen->has_value());
            for (auto const* name : {"a", "b"})
                CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1}, std::ranges::count(seen->value().items, std::string{name},
                                                                           &forwarding::publication::name));
        });
    }

    // What a complete listing lacks counts as removed. Targets write their items again, operators do not.
    void listings_that_do_not_go_on_have_a_gap() {
        struct row {
            char const* name;
            std::vector<std::string> pages;
            /// Items before the gap. No value if nothing can be used.
            std::optional<std::size_t> targets;
        };
        std::vector<row> const table{
            {"truncated without an item", {page(item("a"), true), page("", true)}, 1},
            {"the same page again", {page(item("a"), true)}, 2},
            {"first page truncated without an item", {page("", true)}, 0},
            {"second page is not JSON", {page(item("a") + "," + item("b"), true), "odd"}, 2},
            {"first page is not JSON", {"odd"}, std::nullopt},
        };
        for_each_row(table, [](row const& tested) {
            auto const targets = list_pages(tested.pages);
            CPPUNIT_ASSERT_EQUAL(tested.targets.has_value(), targets.has_value());
            if (tested.targets) {
                CPPUNIT_ASSERT(!targets.value().gap.empty());
                CPPUNIT_ASSERT_EQUAL(*tested.targets, targets.value().items.size());
            }
            CPPUNIT_ASSERT(!list_pages(tested.pages, store_part::operators).has_value());
        });
    }

    // Guards against values of other writers that together use up what a listing may take.
    void large_values_cost_no_others() {
        constexpr int page_count = 30;
        std::string const value(800'000, 'A');
        std::vector<std::string> pages;
        for (int number = 100; number < 100 + page_count; ++number)
            pages.push_back(
                page(R"({"key":"servers/)" + std::to_string(number) + R"(","value":")" + value + R"(","revision":5})",
                     true));
        pages.push_back(page(item("sound"), false));
        auto const listing = list_pages(std::move(pages));
        CPPUNIT_ASSERT_MESSAGE(listing ? "" : listing.error().message, listing.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string{}, listing.value().gap);
        CPPUNIT_ASSERT_EQUAL(std::string{"sound"}, listing.value().items.back().name);
    }

private:
    static base::result<publication_listing> list_pages(std::vector<std::string> pages,
                                                        store_part part = store_part::targets) {
        asio::io_context context;
        scripted_store store{context, std::move(pages)};
        CPPUNIT_ASSERT(store.listen(store_address()).has_value());
        listing_result seen;
        auto const address = network::parse_endpoint(store_address()).value();
        asio::co_spawn(context, list(context, address, part, seen), asio::detached);
        context.run_for(10s);
        CPPUNIT_ASSERT(seen.has_value());
        return *seen;
    }

    static void put(platform::standin::store_standin& store, store_part part, std::string const& name) {
        if (part == store_part::operators)
            store.put_evacuation(name);
        else
            store.put_target(name, "{}");
    }

    static publication_listing list_all(asio::io_context& context, store_part part) {
        listing_result seen;
        asio::co_spawn(context, list(context, network::parse_endpoint(store_address()).value(), part, seen),
                       asio::detached);
        context.run_for(10s);
        CPPUNIT_ASSERT(seen.has_value());
        CPPUNIT_ASSERT_MESSAGE(seen->has_value() ? "" : seen->error().message, seen->has_value());
        return seen->value();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_listing_test);

} // namespace cyclamenledge::tests
