#include "support/table_test.h"

#include "base/random.h"
#include "forwarding/entry_count.h"
#include "forwarding/local_retry_budget.h"
#include "forwarding/publication_table.h"
#include "forwarding/request_queue.h"
#include "forwarding/route_set.h"
#include "forwarding/target_health.h"
#include "log/line_budget.h"
#include "support/property.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;

constexpr base::time_point start{1h};

/// Entries that send each request again as often as their retry budgets permit.
class retry_load {
public:
    static constexpr std::uint32_t entry_count = 4;

    explicit retry_load(retry_bound const& bound, bool entries_reported = true)
        : bound_(bound)
        , entries_(entry_count, entry{local_retry_budget{bound, start - bound.window}, {}}) {
        if (entries_reported)
            report_entries(entry_count, start);
    }

    /// The agents report this number of connected entries.
    void report_entries(std::uint32_t count, base::time_point now) {
        reported_ = count;
        for (auto& item : entries_)
            item.count.observe(count, now);
    }
    void restart(std::size_t number, base::time_point now) {
        entries_.at(number) = {local_retry_budget{bound_, now}, {}};
        entries_.at(number).count.observe(reported_, now);
    }
    void request(std::size_t number, base::time_point now) {
        auto& item = entries_.at(number);
        item.budget.count_request(now);
        requests_.push_back(now);
        for (int attempt = 0; attempt < 3; ++attempt) {
            if (item.budget.try_spend(item.count.value(now), now))
                retries_.push_back(now);
        }
        retried_ = retried_ || !retries_.empty();
        while (now - requests_.front() > bound_.window)
            requests_.pop_front();
        while (!retries_.empty() && now - retries_.front() > bound_.window)
            retries_.pop_front();
    }
    bool within_bound() const {
        return static_cast<double>(retries_.size()) <=
               bound_.share * static_cast<double>(requests_.size()) + bound_.reserve;
    }
    bool retried() const { return retried_; }

private:
    struct entry {
        local_retry_budget budget;
        forwarding::entry_count count;
    };

    retry_bound bound_;
    std::vector<entry> entries_;
    std::uint32_t reported_{0};
    std::deque<base::time_point> requests_;
    std::deque<base::time_point> retries_;
    bool retried_{false};
};

publication change(std::string name, std::uint64_t revision, bool removed = false) {
    return {publication_kind::target, std::move(name), {1, revision}, removed, std::to_string(revision), 0};
}

} // namespace

class table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(table_test);
    CPPUNIT_TEST(publications_keep_the_newest_revision);
    CPPUNIT_TEST(listings_remove_missing_documents);
    CPPUNIT_TEST(revisions_of_a_restored_store_are_newer);
    CPPUNIT_TEST(configurations_are_ordered_by_version);
    CPPUNIT_TEST(retries_of_all_entries_stay_within_the_bound);
    CPPUNIT_TEST(retries_stay_within_the_bound_while_entries_restart);
    CPPUNIT_TEST(retries_that_were_not_sent_are_given_back);
    CPPUNIT_TEST(retries_stay_within_the_bound_during_a_partition);
    CPPUNIT_TEST(retries_stay_within_the_bound_without_a_count_of_entries);
    CPPUNIT_TEST(entry_count_outlasts_a_partition);
    CPPUNIT_TEST(routes_by_longest_prefix);
    CPPUNIT_TEST(queue_order);
    CPPUNIT_TEST(health);
    CPPUNIT_TEST(warnings_keep_their_share_of_the_log);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against replacing a document by an older revision that arrives late from the store or a peer.
    void publications_keep_the_newest_revision() {
        check_property("newest revision wins in any order", [](std::uint64_t seed) {
            base::random_source random{seed};
            publication_table table;
            std::map<std::string, std::uint64_t> newest;
            for (int step = 0; step < 60; ++step) {
                auto const name = std::string(1, static_cast<char>('a' + random.below(4)));
                auto const revision = 1 + random.below(40);
                bool const applied = table.apply(change(name, revision, random.below(4) == 0));
                RC_ASSERT(applied == (revision > newest[name]));
                newest[name] = std::max(newest[name], revision);
                RC_ASSERT(table.find(publication_kind::target, name)->revision.number == newest[name]);
            }
            RC_ASSERT(table.since({1, 40}).empty());
        });
    }

    // Guards against keeping targets whose removal is no longer in the store's change history.
    void listings_remove_missing_documents() {
        publication_table table;
        table.apply(change("gone", 3));
        table.apply(change("kept", 4));
        table.apply(change("newer", 12));
        table.apply({publication_kind::configuration, "", {1, 2}, false, "c", 1});
        auto const changes =
            table.reconcile({{publication_kind::target}, {1, 10}, {change("kept", 4), change("new", 8)}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
        CPPUNIT_ASSERT(table.find(publication_kind::target, "gone")->removed);
        CPPUNIT_ASSERT(!table.find(publication_kind::target, "newer")->removed);
        CPPUNIT_ASSERT(!table.find(publication_kind::configuration, "")->removed);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.since({1, 8}).size());
    }

    // Guards against ignoring what a store writes after it came back from a copy, because its revisions are lower than
    // those that were lost.
    void revisions_of_a_restored_store_are_newer() {
        publication_table table;
        table.apply(change("rewritten", 30));
        table.apply(change("lost", 31));
        auto rewritten = change("rewritten", 12);
        rewritten.revision.era = 2;
        auto const changes = table.reconcile({{publication_kind::target}, {2, 12}, {rewritten}});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, changes.size());
        CPPUNIT_ASSERT(table.find(publication_kind::target, "lost")->removed);
        CPPUNIT_ASSERT(!table.find(publication_kind::target, "rewritten")->removed);
        // A change of the earlier era that arrives late is older.
        CPPUNIT_ASSERT(!table.apply(change("lost", 32)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, table.since({1, 31}).size());
        CPPUNIT_ASSERT(table.since({2, 12}).empty());
    }

    // Guards against passing an earlier configuration on, because the store came back with it.
    void configurations_are_ordered_by_version() {
        publication_table table;
        auto const configuration = [](std::uint64_t version, store_revision revision) {
            return publication{publication_kind::configuration, "", revision, false, std::to_string(version), version};
        };
        CPPUNIT_ASSERT(table.apply(configuration(7, {1, 30})));
        CPPUNIT_ASSERT(!table.apply(configuration(5, {2, 12})));
        CPPUNIT_ASSERT(
            table.reconcile({{publication_kind::configuration}, {2, 13}, {configuration(5, {2, 12})}}).empty());
        CPPUNIT_ASSERT(table.reconcile({{publication_kind::configuration}, {2, 14}, {}}).empty());
        CPPUNIT_ASSERT_EQUAL(std::string{"7"}, table.find(publication_kind::configuration, "")->text);
        CPPUNIT_ASSERT(table.apply(configuration(8, {2, 15})));
    }

    // Guards against a retry storm: whatever share of the requests fails at each entry, the retries of all entries in
    // any window stay within the bound.
    void retries_of_all_entries_stay_within_the_bound() {
        check_property("bound over all entries", [](std::uint64_t seed) {
            base::random_source random{seed};
            retry_bound const bound{0.2, 54, 10s};
            constexpr std::uint32_t entry_count = 4;
            std::vector<local_retry_budget> entries(entry_count, local_retry_budget{bound, start - bound.window});
            std::deque<base::time_point> requests;
            std::deque<base::time_point> extra;
            for (auto now = start; now < start + 40s; now += 20ms) {
                auto& entry = entries[random.below(entry_count)];
                entry.count_request(now);
                requests.push_back(now);
                for (int attempt = 0; attempt < 3; ++attempt) {
                    if (entry.try_spend(entry_count, now))
                        extra.push_back(now);
                }
                while (now - requests.front() > bound.window)
                    requests.pop_front();
                while (!extra.empty() && now - extra.front() > bound.window)
                    extra.pop_front();
                RC_ASSERT(static_cast<double>(extra.size()) <=
                          bound.share * static_cast<double>(requests.size()) + bound.reserve);
            }
            RC_ASSERT(!extra.empty());
        });
    }

    // Guards against a budget that is used up by requests that had no second target.
    void retries_that_were_not_sent_are_given_back() {
        local_retry_budget budget{{0, 4, 10s}, start - 10s};
        constexpr std::size_t allowed = 3;
        for (std::size_t asked = 0; asked < 2 * allowed; ++asked) {
            auto const now = start + asked * 1s;
            CPPUNIT_ASSERT(budget.try_spend(1, now));
            budget.give_back(now);
        }
        auto const now = start + 9s;
        for (std::size_t asked = 0; asked < allowed; ++asked)
            CPPUNIT_ASSERT(budget.try_spend(1, now));
        CPPUNIT_ASSERT(!budget.try_spend(1, now));
        // Nothing was spent then.
        budget.give_back(start);
        CPPUNIT_ASSERT(!budget.try_spend(1, now));
    }

    // Guards against a retry storm: an entry that was started again used its part of the reserve a second time in the
    // window in which its predecessor had used it.
    void retries_stay_within_the_bound_while_entries_restart() {
        check_property("bound while entries restart", [](std::uint64_t seed) {
            base::random_source random{seed};
            retry_load load{{0.2, 54, 10s}};
            for (auto now = start; now < start + 60s; now += 20ms) {
                if (random.below(100) == 0)
                    load.restart(random.below(retry_load::entry_count), now);
                load.request(random.below(retry_load::entry_count), now);
                RC_ASSERT(load.within_bound());
            }
            RC_ASSERT(load.retried());
        });
    }

    // Guards against a retry storm: during a partition each side counted only its own entries, and each entry used a
    // larger part of the reserve.
    void retries_stay_within_the_bound_during_a_partition() {
        retry_load load{{0.2, 54, 10s}};
        for (auto now = start; now < start + 60s; now += 20ms) {
            bool const cut = now >= start + 10s;
            load.report_entries(cut ? retry_load::entry_count / 2 : retry_load::entry_count, now);
            load.request(static_cast<std::size_t>((now - start) / 20ms) % retry_load::entry_count, now);
            CPPUNIT_ASSERT(load.within_bound());
        }
        CPPUNIT_ASSERT(load.retried());
    }

    // Guards against a retry storm: each entry that no agent had told the number of entries used the whole reserve.
    void retries_stay_within_the_bound_without_a_count_of_entries() {
        retry_load load{{0.2, 54, 10s}, false};
        for (auto now = start; now < start + 60s; now += 20ms) {
            load.request(static_cast<std::size_t>((now - start) / 20ms) % retry_load::entry_count, now);
            CPPUNIT_ASSERT(load.within_bound());
        }
        CPPUNIT_ASSERT(load.retried());
    }

    // Guards against a bound that is divided by too few entries during a partition, and against one that stays divided
    // by entries that were removed.
    void entry_count_outlasts_a_partition() {
        struct row {
            char const* name;
            std::vector<std::pair<base::duration, std::uint32_t>> observed;
            base::duration asked;
            std::optional<std::uint32_t> expected;
        };
        std::vector<row> const table{
            {"nothing observed", {}, 0s, {}},
            {"no entry", {{0s, 0}}, 1s, {}},
            {"steady", {{0s, 4}, {10s, 4}}, 10s, 4},
            {"more entries", {{0s, 4}, {10s, 6}}, 10s, 6},
            {"partition of an hour", {{0s, 4}, {1s, 2}, {1h, 2}}, 1h, 4},
            {"entries removed", {{0s, 4}, {1s, 2}, {3h, 2}}, 3h, 2},
            {"nothing observed for long", {{0s, 4}}, 3h, {}},
            {"partition in steps", {{0s, 6}, {60min, 4}, {90min, 2}, {150min, 2}}, 150min, 4},
        };
        for_each_row(table, [](row const& tested) {
            forwarding::entry_count count;
            for (auto const& [after, entries] : tested.observed)
                count.observe(entries, start + after);
            CPPUNIT_ASSERT(tested.expected == count.value(start + tested.asked));
        });
    }

    // Guards against a request that is served by the route of another path or host.
    void routes_by_longest_prefix() {
        struct row {
            char const* name;
            char const* host;
            char const* path;
            char const* expected;
        };
        auto const make = [](char const* name, char const* host, char const* prefix) {
            route made;
            made.name = name;
            made.host = host;
            made.prefix = prefix;
            return made;
        };
        route_set const routes{
            1,
            {make("root", "h", "/"), make("a", "h", "/a/"), make("ab", "h", "/a/b/"), make("other", "i", "/x/")},
            {},
            {},
            {}};
        std::vector<row> const table{
            {"longest", "h", "/a/b/c", "ab"},       {"shorter", "h", "/a/bc", "a"},
            {"the prefix itself", "h", "/a/", "a"}, {"without the slash", "h", "/a", "root"},
            {"other host", "i", "/a/b/", ""},       {"unknown host", "j", "/", ""},
            {"not a path", "h", "*", ""},
        };
        for_each_row(table, [&](row const& tested) {
            auto const* found = routes.find_route(tested.host, tested.path);
            CPPUNIT_ASSERT_EQUAL(std::string{tested.expected}, found == nullptr ? std::string{} : found->name);
        });
    }

    // Guards against late requests under overload: those that can be on time come first, then the most urgent ones,
    // then the earliest.
    void queue_order() {
        request_queue queue;
        queue.add({1, "s", 1, start, start - 1ms});
        queue.add({2, "s", 1, start + 1ms, start + 9s});
        queue.add({3, "s", 0, start + 2ms, start + 9s});
        queue.add({4, "s", 1, start + 3ms, start + 9s});
        queue.add({5, "t", 0, start, start + 9s});
        CPPUNIT_ASSERT((queue.order("s", start) == std::vector<std::uint64_t>{3, 2, 4, 1}));
        CPPUNIT_ASSERT(queue.has_ahead_of("s", 0, start));
        CPPUNIT_ASSERT(!queue.has_ahead_of("u", 5, start));
        queue.remove(3);
        CPPUNIT_ASSERT(!queue.has_ahead_of("s", 0, start));
        while (queue.size() < request_queue::maximum_size)
            CPPUNIT_ASSERT(queue.add({9, "s", 1, start, start}));
        CPPUNIT_ASSERT(!queue.add({9, "s", 1, start, start}));
    }

    // Guards against ejecting targets of a service that fails some requests when healthy, and against keeping a target
    // that fails most requests.
    void health() {
        struct row {
            char const* name;
            std::string outcomes;
            bool ejected;
        };
        std::vector<row> const table{
            {"good", "aaaaaaaa", false},
            {"fails one in four", "aaafaaafaaafaaaf", false},
            {"four in a row", "aaaffff", true},
            {"two refused connections", "auu", true},
            {"most requests", "ffaffaffaffaffa", true},
        };
        for_each_row(table, [](row const& tested) {
            target_health tracked;
            for (char const outcome : tested.outcomes) {
                tracked.record(outcome == 'a'   ? target_outcome::answered
                               : outcome == 'f' ? target_outcome::failed
                                                : target_outcome::unreachable,
                               start);
            }
            CPPUNIT_ASSERT_EQUAL(tested.ejected, tracked.ejected(start));
            CPPUNIT_ASSERT(!tracked.ejected(start + target_health::longest_ejection));
        });
    }

    // Guards against losing warnings because lines about successes use up the line budget of the log.
    void warnings_keep_their_share_of_the_log() {
        log::line_budget budget;
        int written = 0;
        for (int line = 0; line < 5000; ++line)
            written += budget.try_take(log::severity::info, start) ? 1 : 0;
        CPPUNIT_ASSERT(written < static_cast<int>(log::line_budget::burst));
        CPPUNIT_ASSERT(budget.try_take(log::severity::warning, start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5000} - static_cast<std::uint64_t>(written), budget.take_dropped());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, budget.take_dropped());
        CPPUNIT_ASSERT(budget.try_take(log::severity::info, start + 1s));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_test);

} // namespace cyclamenledge::tests
