#include "forwarding/store_knowledge.h"
#include "forwarding/store_relay_table.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;
using base::milliseconds;

constexpr std::size_t seed_count = 3;
constexpr milliseconds step{5};
constexpr milliseconds one_way{20};
/// A process gives a call up this long after the wait of a watch, and tries again after the pause.
constexpr milliseconds answer_margin{1200};
constexpr milliseconds retry_pause{300};
constexpr milliseconds batching_delay{500};
constexpr milliseconds relay_interval{400};
/// When faults begin. The processes have settled by then.
constexpr milliseconds fault_begin{6000};
/// Longest time from a change until every process that the store answers has applied it.
constexpr milliseconds change_bound{2500};

/// Between two reports, a clock may drift by a two-thousandth of the time.
bool within_drift(base::time_point expected, base::time_point found) {
    return found >= expected && found <= expected + 10ms;
}

base::time_point at(milliseconds time) {
    return base::time_point{1h} + time;
}

enum class fault_kind : std::uint8_t {
    none,
    /// The store takes calls and does not answer.
    store_silent,
    store_refuses,
    /// Waiting calls end once.
    watch_cut,
    paused,
    /// What the process sends to its followers is lost.
    relay_lost,
    /// Forgets everything at the beginning of the fault.
    restarted,
};

struct fault {
    fault_kind kind{fault_kind::none};
    milliseconds length{0};

    bool active(fault_kind asked, milliseconds now) const {
        return kind == asked && now >= fault_begin && now < fault_begin + length;
    }
    bool begins(fault_kind asked, milliseconds now) const { return kind == asked && now == fault_begin; }
};

/// The revision of the store rises by one at each of these times.
struct change_log {
    std::vector<milliseconds> changes;

    std::uint64_t revision(milliseconds now) const {
        return 100 + static_cast<std::uint64_t>(std::ranges::count_if(changes, [&](auto time) { return time <= now; }));
    }
    std::optional<milliseconds> first_after(std::uint64_t revision) const {
        auto const known = static_cast<std::size_t>(revision - 100);
        return known < changes.size() ? std::optional{changes[known]} : std::nullopt;
    }
};

/// A process that watches the store.
class reader {
public:
    store_knowledge knowledge;
    std::uint64_t as_of{100};
    int calls{0};

    /// Returns whether the store has answered.
    bool read(change_log const& log, fault const& harm, milliseconds now) {
        bool const refused = harm.active(fault_kind::store_refuses, now);
        if (call_ && (harm.begins(fault_kind::watch_cut, now) || now >= call_->fails_at || (refused && !call_->lost)))
            fail(now);
        if (!call_ && now >= next_call_)
            send(log, harm, now);
        if (!call_ || call_->lost || now < call_->answered_at)
            return false;
        auto const ended = *std::exchange(call_, std::nullopt);
        bool const changed = ended.revision > as_of;
        as_of = std::max(as_of, ended.revision);
        knowledge.confirm(changed ? at(ended.sent_at)
                                  : store_knowledge::unchanged_at(at(ended.sent_at), ended.wait, at(now)));
        next_call_ = now + (changed ? batching_delay : 0ms);
        return true;
    }
    void stop() { call_.reset(); }

private:
    struct call {
        milliseconds sent_at;
        milliseconds wait;
        milliseconds fails_at;
        milliseconds answered_at;
        std::uint64_t revision;
        bool lost;
    };

    void fail(milliseconds now) {
        call_.reset();
        next_call_ = now + retry_pause;
    }
    void send(change_log const& log, fault const& harm, milliseconds now) {
        ++calls;
        auto const wait = knowledge.watch_wait(at(now));
        auto const first = log.first_after(as_of);
        auto const answered = std::clamp(first.value_or(now + one_way + wait), now + one_way, now + one_way + wait);
        call_ = call{now,
                     wait,
                     now + wait + answer_margin,
                     answered + one_way,
                     log.revision(answered),
                     harm.active(fault_kind::store_silent, now)};
        if (harm.active(fault_kind::store_refuses, now))
            fail(now);
    }

    std::optional<call> call_;
    milliseconds next_call_{0};
};

struct sent_report {
    milliseconds arrives_at;
    std::string seed;
    relay_report content;
};

struct following_case {
    char const* name;
    std::array<fault, seed_count> seeds;
    /// What happens between the store and the follower.
    fault follower;
    /// Whether the store keeps its history of calls low: the follower need not read.
    bool reads;
};

/// Three entries that watch the store and one that follows them.
class following_model {
public:
    following_model(following_case const& played, change_log log)
        : played_(played)
        , log_(std::move(log)) {}

    void advance_to(milliseconds end) {
        for (; now_ < end; now_ += step) {
            for (std::size_t number = 0; number < seed_count; ++number)
                advance_seed(number);
            advance_follower();
        }
    }
    reader const& follower() const { return follower_; }
    reader const& seed(std::size_t number) const { return seeds_.at(number); }
    milliseconds now() const { return now_; }

private:
    void advance_seed(std::size_t number) {
        auto const& harm = played_.seeds.at(number);
        auto& seed = seeds_.at(number);
        if (harm.begins(fault_kind::restarted, now_)) {
            seed = {};
            relays_.remove(std::to_string(number));
        }
        if (harm.active(fault_kind::paused, now_) || harm.active(fault_kind::restarted, now_))
            return;
        auto const before = seed.as_of;
        bool const answered = seed.read(log_, harm, now_);
        auto& last_relay = last_relays_.at(number);
        bool const due = now_ - last_relay.first >= relay_interval && last_relay.second < seed.knowledge.confirmed_at();
        if (!due && (!answered || seed.as_of == before))
            return;
        last_relay = {now_, seed.knowledge.confirmed_at()};
        // Clocks of processes have nothing in common.
        auto const clock = now_ + number * 100'000ms;
        auto const age = std::chrono::ceil<milliseconds>(at(now_) - *seed.knowledge.confirmed_at());
        if (!harm.active(fault_kind::relay_lost, now_))
            reports_.push_back({now_ + one_way, std::to_string(number), {{1, seed.as_of}, clock, age}});
    }
    void advance_follower() {
        for (; !reports_.empty() && reports_.front().arrives_at <= now_; reports_.pop_front())
            relays_.on_report(reports_.front().seed, reports_.front().content, at(now_));
        auto const newest = relays_.newest();
        if (newest) {
            follower_.as_of = std::max(follower_.as_of, newest->as_of.number);
            follower_.knowledge.confirm(newest->confirmed_at);
        }
        if (newest && store_knowledge::is_recent(newest->confirmed_at, at(now_)))
            follower_.stop();
        else
            follower_.read(log_, played_.follower, now_);
    }

    following_case const& played_;
    change_log log_;
    milliseconds now_{0};
    std::array<reader, seed_count> seeds_;
    std::array<std::pair<milliseconds, std::optional<base::time_point>>, seed_count> last_relays_;
    std::deque<sent_report> reports_;
    store_relay_table relays_;
    reader follower_;
};

std::array<fault, seed_count> all_seeds(fault_kind kind, milliseconds length) {
    return {fault{kind, length}, fault{kind, length}, fault{kind, length}};
}

std::vector<following_case> const& following_cases() {
    using enum fault_kind;
    static std::vector<following_case> const table{
        {"calm", {}, {}, false},
        {"one seed has lost the store", {fault{store_silent, 5500ms}}, {}, false},
        {"two seeds have lost the store", {fault{store_silent, 5500ms}, fault{store_silent, 5500ms}}, {}, false},
        {"all seeds have lost the store", all_seeds(store_silent, 5500ms), {}, true},
        {"the store refuses all seeds", all_seeds(store_refuses, 5500ms), {}, true},
        {"one seed is paused", {fault{paused, 4000ms}}, {}, false},
        {"all seeds are paused", all_seeds(paused, 4000ms), {}, true},
        {"one relay is lost", {fault{relay_lost, 4000ms}}, {}, false},
        {"all relays are lost", all_seeds(relay_lost, 4000ms), {}, true},
        {"all waiting watches are cut", all_seeds(watch_cut, 1ms), {}, false},
        {"one seed restarts", {fault{restarted, 1500ms}}, {}, false},
        {"all seeds restart", all_seeds(restarted, 3000ms), {}, true},
    };
    return table;
}

} // namespace

/// Guards against an entry that follows others and takes an old state of the store for the present one.
class store_following_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_following_test);
    CPPUNIT_TEST(followers_learn_of_changes_in_time);
    CPPUNIT_TEST(followers_read_the_store_only_without_relays);
    CPPUNIT_TEST(removals_are_in_doubt_only_after_an_outage);
    CPPUNIT_TEST(late_reports_are_older_than_they_say);
    CPPUNIT_TEST(clocks_that_drift_make_no_state_old);
    CPPUNIT_TEST_SUITE_END();

public:
    /// The change comes at any time before, during and after the fault, alone and after other changes.
    void followers_learn_of_changes_in_time() {
        for_each_row(following_cases(), [](following_case const& tested) {
            for (auto offset = -3000ms; offset <= 6000ms; offset += 55ms) {
                auto const change = fault_begin + offset;
                for (auto const& earlier : {std::vector<milliseconds>{}, std::vector{change - 700ms, change - 350ms}}) {
                    auto changes = earlier;
                    changes.push_back(change);
                    following_model played{tested, {changes}};
                    played.advance_to(change + change_bound);
                    CPPUNIT_ASSERT_EQUAL_MESSAGE("change after " + std::to_string(offset.count()) + " ms",
                                                 100 + changes.size(),
                                                 static_cast<std::size_t>(played.follower().as_of));
                }
            }
        });
    }

    /// Guards against 330 processes that all call the store because one of the three that relay has lost it.
    void followers_read_the_store_only_without_relays() {
        for_each_row(following_cases(), [](following_case const& tested) {
            following_model played{tested, {{fault_begin + 100ms, fault_begin + 900ms, fault_begin + 4000ms}}};
            played.advance_to(fault_begin);
            auto const before = played.follower().calls;
            played.advance_to(fault_begin + 12s);
            CPPUNIT_ASSERT_EQUAL(tested.reads, played.follower().calls > before);
            // The relays are followed again.
            auto const after = played.follower().calls;
            played.advance_to(fault_begin + 30s);
            CPPUNIT_ASSERT_EQUAL(after, played.follower().calls);
        });
    }

    /// Guards against a removed target that stays in use because a call failed some time ago, or because a watch was
    /// cut, and against a running target that is given up because its announcement expired in an outage.
    void removals_are_in_doubt_only_after_an_outage() {
        using enum fault_kind;
        for_each_row(following_cases(), [](following_case const& tested) {
            following_model played{tested, {}};
            for (auto end = fault_begin; end < fault_begin + 15s; end += step) {
                played.advance_to(end);
                CPPUNIT_ASSERT(!played.follower().knowledge.removals_in_doubt(at(end)));
            }
        });
        struct row {
            char const* name;
            fault_kind kind;
            milliseconds length;
            bool doubtful;
        };
        std::vector<row> const table{
            {"store silent", store_silent, 4500ms, true},
            {"store refuses", store_refuses, 4500ms, true},
            {"store refuses shortly", store_refuses, 400ms, false},
        };
        for_each_row(table, [](row const& tested) {
            fault const outage{tested.kind, tested.length};
            following_case const world{tested.name, {outage, outage, outage}, outage, true};
            following_model played{world, {}};
            auto const over = fault_begin + tested.length;
            played.advance_to(over + 1500ms);
            CPPUNIT_ASSERT_EQUAL(tested.doubtful, played.follower().knowledge.removals_in_doubt(at(played.now())));
            CPPUNIT_ASSERT_EQUAL(tested.doubtful, played.seed(0).knowledge.removals_in_doubt(at(played.now())));
            // Targets that run have announced themselves again, and the state was confirmed at most one call later.
            played.advance_to(over + answer_margin + store_knowledge::watch_period +
                              store_knowledge::announcement_return + 500ms);
            CPPUNIT_ASSERT(!played.follower().knowledge.removals_in_doubt(at(played.now())));
            CPPUNIT_ASSERT(!played.seed(0).knowledge.removals_in_doubt(at(played.now())));
        });
    }

    /// Guards against an old state that counts as new because its report was held up on the way.
    void late_reports_are_older_than_they_say() {
        store_relay_table relays;
        CPPUNIT_ASSERT(!relays.newest());
        relays.on_report("one", {{1, 7}, 500ms, 200ms}, at(10s));
        CPPUNIT_ASSERT(at(10s - 200ms) == relays.newest()->confirmed_at);
        relays.on_report("one", {{1, 9}, 1500ms, 100ms}, at(14s));
        CPPUNIT_ASSERT(within_drift(at(11s - 100ms), relays.newest()->confirmed_at));
        CPPUNIT_ASSERT((store_revision{1, 9} == relays.newest()->as_of));
        // A process of another version states no time, so that what it says counts from its first report.
        relays.on_report("two", {{1, 8}, 0ms, 0ms}, at(12s));
        relays.on_report("two", {{1, 9}, 0ms, 0ms}, at(30s));
        CPPUNIT_ASSERT(within_drift(at(12s), relays.newest()->confirmed_at));
        relays.remove("one");
        relays.remove("two");
        CPPUNIT_ASSERT(!relays.newest());
    }

    /// Guards against followers that all read the store after some hours, because the clock of a relay is slower.
    void clocks_that_drift_make_no_state_old() {
        for (int const parts_per_million : {-100, 100}) {
            store_relay_table relays;
            for (auto now = 0ms; now < 48h; now += 500ms) {
                auto const drift = std::chrono::microseconds{now} * parts_per_million / 1'000'000;
                auto const relay_clock = now + std::chrono::floor<milliseconds>(drift);
                relays.on_report("one", {{1, 7}, 1h + relay_clock, 40ms}, at(now));
                CPPUNIT_ASSERT(at(now) - relays.newest()->confirmed_at < 50ms);
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_following_test);

} // namespace cyclamenledge::tests
