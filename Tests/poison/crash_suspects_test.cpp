#include "poison/crash_suspects.h"
#include "support/property.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using poison::crash_notice;
using poison::crash_suspects;

constexpr base::time_point start{base::seconds{100'000}};

/// Events of one fingerprint: a letter is a crash on the target of that name, a capital letter one of a run that had
/// started before the earlier crashes, `+` is a success, `-` a success at a peer, `.` advances the time by 6 minutes.
struct crash_row {
    char const* name;
    char const* events;
    bool refuses;
};

constexpr std::array<crash_row, 13> crash_rows{{
    {"no crash", "", false},
    {"one target twice", "aa", false},
    {"two targets", "ab", true},
    {"a success clears", "ab+", false},
    {"one crash after a success", "a+b", false},
    {"two crashes after a success", "a+bc", true},
    {"both strikes within the lifetime", "a.b", true},
    {"the first strike expires", "a.b.", false},
    {"targets that crashed at the same time", "aBCD", false},
    {"a run after targets that crashed at the same time", "aBCd", true},
    {"a success at a peer clears", "ab-", false},
    {"one crash after a success at a peer", "a-b", false},
    {"two crashes after a success at a peer", "a-bc", true},
}};

std::vector<crash_notice> random_notices() {
    std::vector<crash_notice> notices;
    for (auto const number : *rc::gen::container<std::vector<std::uint16_t>>(rc::gen::arbitrary<std::uint16_t>()))
        notices.push_back({number % 3U, std::string(1, static_cast<char>('a' + number / 3 % 6)), number / 18U % 2U,
                           base::milliseconds{number % 700U * 1000U}, base::milliseconds{number % 5U * 1000U}});
    return notices;
}

std::vector<std::string> state_after(std::vector<crash_notice> const& notices) {
    crash_suspects suspects;
    for (auto const& notice : notices)
        suspects.on_crash(notice, start);
    std::vector<std::string> state;
    for (auto const& known : suspects.notices(start))
        state.push_back(std::to_string(known.fingerprint) + known.target + std::to_string(known.incarnation) + "@" +
                        std::to_string(known.age.count()) + "+" + std::to_string(known.ran_for.count()));
    std::sort(state.begin(), state.end());
    return state;
}

} // namespace

class crash_suspects_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_suspects_test);
    CPPUNIT_TEST(crash_count_decides);
    CPPUNIT_TEST(merge_ignores_order_and_repetition);
    CPPUNIT_TEST(late_copy_of_a_cleared_notice_is_ignored);
    CPPUNIT_TEST(success_at_a_peer_clears_crashes_that_arrive_later);
    CPPUNIT_TEST(refusal_names_the_time_of_its_end);
    CPPUNIT_TEST(notices_are_passed_on_once);
    CPPUNIT_TEST(oldest_fingerprint_is_evicted);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing a harmless request, and against running a request that has crashed two targets.
    void crash_count_decides() {
        for_each_row(crash_rows, [](crash_row const& row) {
            crash_suspects suspects;
            auto now = start;
            for (char const event : std::string(row.events)) {
                now += event == '.' ? base::seconds{360} : base::seconds{1};
                bool const overlaps = event >= 'A' && event <= 'Z';
                if (event == '+')
                    suspects.on_success(7, now);
                else if (event == '-')
                    suspects.on_peer_success(7, base::milliseconds{0}, now);
                else if (event != '.')
                    suspects.on_crash({7, std::string(1, event), 1, base::milliseconds{0},
                                       overlaps ? base::milliseconds{60'000} : base::milliseconds{0}},
                                      now);
            }
            CPPUNIT_ASSERT_EQUAL(row.refuses, suspects.refuses(7, now));
        });
    }

    // Guards against entries with different states because notices arrived in different orders or more than once.
    void merge_ignores_order_and_repetition() {
        check_property("merging notices is idempotent and order independent", [] {
            auto notices = random_notices();
            auto const expected = state_after(notices);
            auto const size = notices.size();
            for (std::size_t index = 0; index < size; index += 2)
                notices.push_back(crash_notice(notices[index]));
            std::shuffle(notices.begin(), notices.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
            RC_ASSERT(state_after(notices) == expected);
        });
    }

    // Guards against crash records that a success has cleared and a peer sends again when it reconnects.
    void late_copy_of_a_cleared_notice_is_ignored() {
        crash_suspects suspects;
        CPPUNIT_ASSERT(suspects.on_crash({7, "a", 1, base::milliseconds{0}}, start));
        suspects.on_success(7, start + base::seconds{5});
        CPPUNIT_ASSERT(!suspects.on_crash({7, "a", 1, base::seconds{9}}, start + base::seconds{9}));
        CPPUNIT_ASSERT(suspects.notices(start + base::seconds{9}).empty());
    }

    // Guards against refusing a harmless request because notices took different ways and the success arrived first.
    void success_at_a_peer_clears_crashes_that_arrive_later() {
        crash_suspects suspects;
        CPPUNIT_ASSERT(!suspects.on_peer_success(7, base::milliseconds{100}, start));
        CPPUNIT_ASSERT(!suspects.on_crash({7, "a", 1, base::milliseconds{200}}, start));
        CPPUNIT_ASSERT(!suspects.suspects(7, start));
        CPPUNIT_ASSERT(suspects.on_crash({7, "b", 1, base::milliseconds{50}}, start));
        CPPUNIT_ASSERT(suspects.suspects(7, start));
        // Only a success that clears a crash is passed on, so that two peers do not send it back and forth.
        CPPUNIT_ASSERT(suspects.on_peer_success(7, base::milliseconds{0}, start));
        CPPUNIT_ASSERT(!suspects.on_peer_success(7, base::milliseconds{0}, start));
    }

    // Guards against a storm of notices: a copy that arrived after a success cleared its crash counted as new, and was
    // passed on again without end. Each process sends what is new to it to all others, which takes 20 ms.
    void notices_are_passed_on_once() {
        constexpr std::size_t processes = 6;
        constexpr std::size_t crashes = 20;
        struct message {
            base::time_point arrives;
            std::size_t to;
            bool success;
            crash_notice notice;
        };
        std::vector<crash_suspects> tables(processes);
        std::deque<message> sent;
        std::size_t count = 0;
        auto const send = [&](std::size_t from, bool success, crash_notice const& notice, base::time_point now) {
            for (std::size_t to = 0; to < processes; ++to) {
                if (to != from)
                    sent.push_back({now + base::milliseconds{20}, to, success, notice});
            }
            count += processes - 1;
        };
        for (int step = 0; step < 1000; ++step) {
            auto const now = start + base::milliseconds{step};
            if (step < 400 && step % 20 == 0) {
                crash_notice const crash{7, std::to_string(step), 1, base::milliseconds{0}};
                if (tables[0].on_crash(crash, now))
                    send(0, false, crash, now);
            }
            auto const lucky = static_cast<std::size_t>(step) % processes;
            if (step % 7 == 0 && tables[lucky].on_success(7, now))
                send(lucky, true, {7, "", 0, base::milliseconds{0}}, now);
            while (!sent.empty() && sent.front().arrives <= now) {
                auto const received = sent.front();
                sent.pop_front();
                auto& table = tables[received.to];
                bool const news = received.success ? table.on_peer_success(7, received.notice.age, now)
                                                   : table.on_crash(received.notice, now);
                if (news)
                    send(received.to, received.success, received.notice, now);
            }
            // Each process sends each crash, and its end, at most once.
            CPPUNIT_ASSERT(count <= crashes * processes * (processes - 1) * 2);
        }
        CPPUNIT_ASSERT(sent.empty());
    }

    // Guards against a Retry-After at which the request is refused again.
    void refusal_names_the_time_of_its_end() {
        crash_suspects suspects;
        CPPUNIT_ASSERT(suspects.time_to_expiry(7, start) == base::milliseconds{0});
        suspects.on_crash({7, "a", 1, base::milliseconds{0}}, start);
        suspects.on_crash({7, "b", 1, base::milliseconds{0}}, start + base::seconds{10});
        auto const now = start + base::seconds{20};
        CPPUNIT_ASSERT(suspects.refuses(7, now));
        auto const end = now + suspects.time_to_expiry(7, now) + base::milliseconds{1};
        CPPUNIT_ASSERT(!suspects.refuses(7, end));
    }

    // Guards against unbounded memory use with many crashing fingerprints, and against evicting the newest one.
    void oldest_fingerprint_is_evicted() {
        poison::crash_suspects_options options;
        options.maximum_fingerprints = 3;
        crash_suspects suspects(options);
        for (std::uint64_t fingerprint = 1; fingerprint <= 5; ++fingerprint) {
            auto const now = start + base::seconds{fingerprint};
            suspects.on_crash({fingerprint, "a", 1, base::milliseconds{0}}, now);
            suspects.on_crash({fingerprint, "b", 1, base::milliseconds{0}}, now);
        }
        auto const now = start + base::seconds{6};
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, suspects.size());
        CPPUNIT_ASSERT(!suspects.refuses(2, now));
        CPPUNIT_ASSERT(suspects.refuses(3, now));
        suspects.expire(start + base::seconds{604});
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, suspects.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_suspects_test);

} // namespace cyclamenledge::tests
