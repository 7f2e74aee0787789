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
#include <unistd.h>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using forwarding::publication_listing;
using platform::store_part;

constexpr base::milliseconds time_limit{1000};

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

} // namespace

/// Guards against listings of the store that do not go on behind an item of another writer.
class store_listing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_listing_test);
    CPPUNIT_TEST(listings_go_on_behind_odd_keys);
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
                    CPPUNIT_ASSERT_EQUAL(names.size(), listing.items.size());
                    for (auto const& name : names)
                        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{1},
                                             std::ranges::count(listing.items, name, &forwarding::publication::name));
                }
            });
        }
    }

private:
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
