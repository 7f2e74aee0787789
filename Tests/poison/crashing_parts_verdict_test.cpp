#include "poison/crash_suspects.h"
#include "support/table_test.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <cctype>
#include <sstream>
#include <string>

namespace cyclamenledge::tests {

namespace {

using poison::content_kind;
using poison::crash_notice;
using poison::crash_suspects;

constexpr base::time_point start{base::seconds{100'000}};
constexpr base::milliseconds run_length{500};
constexpr std::uint64_t part_base = 1000;

/// Events, one a second, separated by spaces. `a:GX,Y` is a crash of target a while it ran a request with the parts G
/// and X and another with the part Y; in capitals, `A:`, the runs had started before all earlier crashes. `+X` is a
/// success on the part X, `-X` one at a peer, `.` advances the time by 6 minutes.
struct verdict_row {
    char const* name;
    char const* events;
    /// The parts of the judged request.
    char const* parts;
    bool refused;
};

constexpr std::array<verdict_row, 28> verdict_rows{{
    {"two crashes", "a:G b:G", "G", false},
    {"three crashes", "a:G b:G c:G", "G", true},
    {"in another request", "a:GA b:GB c:GC", "GD", true},
    {"three crashes of one target", "a:G a:G a:G", "G", false},
    {"crashes at the same time", "a:G B:G C:G D:G", "G", false},
    {"old crashes", "a:G b:G . . c:G", "G", false},
    {"a success in between", "a:G b:G +G c:G", "G", false},
    {"a success at a peer in between", "a:G b:G -G c:G", "G", false},
    {"a success after the verdict", "a:G b:G c:G +G", "G", false},
    {"a part that was beside it once", "a:GX,Y b:GZ c:G", "X", false},
    {"a part that was beside it in each crash, without it", "a:GX b:GX c:GX", "X", false},
    {"the culprit of the same crashes, without the other part", "a:GX b:GX c:GX", "G", false},
    {"both of them", "a:GX b:GX c:GX", "GX", true},
    {"the culprit after one more crash", "a:GX b:GX c:GX d:G", "G", true},
    {"the other part after that crash", "a:GX b:GX c:GX d:G", "X", false},
    {"the other part with the culprit", "a:GX b:GX c:GX d:G", "GX", true},
    {"a part that was beside it in other requests", "a:G,X b:G,X c:G,X d:G", "X", false},
    {"a sound part that was beside it in each crash", "+X a:GX b:GX c:GX d:GX e:GX", "X", false},
    {"a sound part with a crash that the culprit did not cause", "+X a:X b:GX c:GX d:GX e:GX", "X", false},
    {"the culprit beside a sound part", "+X a:GX b:GX c:GX", "G", true},
    {"a part that was sound, after four crashes", "+G a:G b:G c:G d:G", "G", false},
    {"a part that was sound, after five crashes", "+G a:G b:G c:G d:G e:G", "G", true},
    {"a part that was sound, minutes after all targets crashed", "+G a:G b:G c:G d:G e:G .", "G", false},
    {"a part that never was, minutes later", "a:G b:G c:G .", "G", true},
    {"two culprits, the first", "a:G b:H c:G d:H e:G f:H", "G", true},
    {"two culprits, the second", "a:G b:H c:G d:H e:G f:H", "H", true},
    {"a part beside both culprits", "a:GX b:HX c:G d:H e:GX f:H g:HX", "X", false},
    {"a request without parts", "a:G b:G c:G", "", false},
}};

/// Applies the events of a row. The request as a whole has another fingerprint in each run.
class history {
public:
    void apply(std::string const& events) {
        std::istringstream words{events};
        for (std::string word; words >> word;)
            apply_one(word);
    }
    std::optional<poison::refusal> judge(std::string const& parts, std::uint64_t fingerprint = 0) const {
        return suspects_.find_refusal(content(fingerprint, parts), now_);
    }
    crash_suspects& suspects() { return suspects_; }
    base::time_point now() const { return now_; }

    static std::uint64_t part(char letter) { return part_base + static_cast<std::uint64_t>(letter); }

private:
    static poison::request_content content(std::uint64_t fingerprint, std::string const& parts) {
        poison::request_content made{fingerprint, {}};
        for (char const letter : parts)
            made.parts.push_back({std::string(1, letter), part(letter)});
        return made;
    }

    void apply_one(std::string const& word) {
        now_ += word == "." ? base::seconds{360} : base::seconds{1};
        if (word == ".")
            return;
        if (word[0] == '+')
            suspects_.on_part_success(part(word[1]), now_);
        else if (word[0] == '-')
            suspects_.on_peer_success(part(word[1]), base::milliseconds{0}, now_);
        else
            crash(word);
    }

    void crash(std::string const& word) {
        bool const overlaps = std::isupper(static_cast<unsigned char>(word[0])) != 0;
        crash_notice notice;
        notice.target = word[0];
        notice.ran_for = overlaps ? base::milliseconds{60'000} : run_length;
        for (char const letter : word.substr(2)) {
            notice.kind = letter == ',' ? content_kind::request : content_kind::prompt_part;
            notice.fingerprint = letter == ',' ? ++requests_ : part(letter);
            suspects_.on_crash(notice, now_);
        }
    }

    crash_suspects suspects_;
    base::time_point now_{start};
    std::uint64_t requests_{0};
};

} // namespace

class crashing_parts_verdict_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crashing_parts_verdict_test);
    CPPUNIT_TEST(part_that_explains_the_crashes_is_refused);
    CPPUNIT_TEST(request_that_ran_beside_a_crashing_part_is_not_refused);
    CPPUNIT_TEST(crash_of_a_run_that_began_before_a_success_is_refuted);
    CPPUNIT_TEST(run_that_follows_a_crash_at_once_counts);
    CPPUNIT_TEST(refusal_names_the_part);
    CPPUNIT_TEST(successes_of_many_parts_evict_no_crashes);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a part that goes on crashing targets, and against refusing sound requests that ran beside it.
    void part_that_explains_the_crashes_is_refused() {
        for_each_row(verdict_rows, [](verdict_row const& row) {
            history played;
            played.apply(row.events);
            CPPUNIT_ASSERT_EQUAL(row.refused, played.judge(row.parts).has_value());
        });
    }

    // Guards against refusing a harmless request for ten minutes because it ran on two targets that another one
    // crashed.
    void request_that_ran_beside_a_crashing_part_is_not_refused() {
        history played;
        played.apply("a:G b:G");
        auto& suspects = played.suspects();
        suspects.on_crash({7, "a", 0, base::milliseconds{1000}, run_length}, played.now());
        suspects.on_crash({7, "b", 0, base::milliseconds{0}, run_length}, played.now());
        CPPUNIT_ASSERT(played.judge("X", 7).has_value());
        played.apply("c:G");
        CPPUNIT_ASSERT(!played.judge("X", 7).has_value());
        // A request with the part is not excused by it.
        CPPUNIT_ASSERT(played.judge("G", 7).has_value());
    }

    // Guards against an entry that learned of the first crash late, so that the second run seems to overlap with it.
    void run_that_follows_a_crash_at_once_counts() {
        history played;
        auto& suspects = played.suspects();
        crash_notice notice{history::part('G'), "a", 0, base::milliseconds{0}, run_length, content_kind::prompt_part};
        auto const crash = played.now();
        suspects.on_crash(notice, crash + base::milliseconds{60});
        notice.target = "b";
        suspects.on_crash(notice, crash + run_length + base::milliseconds{5});
        notice.target = "c";
        suspects.on_crash(notice, crash + 2 * run_length + base::milliseconds{10});
        CPPUNIT_ASSERT(played.judge("G").has_value());
    }

    // Guards against entries that keep suspecting a part because only another one has seen its success.
    void crash_of_a_run_that_began_before_a_success_is_refuted() {
        history played;
        played.apply("+G");
        auto& suspects = played.suspects();
        crash_notice notice{history::part('G'),       "a", 0, base::milliseconds{0}, base::seconds{3},
                            content_kind::prompt_part};
        auto const now = played.now() + base::seconds{2};
        CPPUNIT_ASSERT(!suspects.on_crash(notice, now));
        CPPUNIT_ASSERT(suspects.take_refutation(notice.fingerprint, now) == base::milliseconds{2000});
        // Each crash is refuted once.
        CPPUNIT_ASSERT(!suspects.on_crash(notice, now));
        CPPUNIT_ASSERT(!suspects.take_refutation(notice.fingerprint, now).has_value());
        notice.target = "b";
        notice.ran_for = base::milliseconds{100};
        CPPUNIT_ASSERT(suspects.on_crash(notice, now));
        CPPUNIT_ASSERT(!suspects.take_refutation(notice.fingerprint, now).has_value());
    }

    // Guards against logs from which an operator cannot tell the part and its evidence.
    void refusal_names_the_part() {
        history played;
        played.apply("a:G b:G c:G");
        auto const refused = played.judge("XG");
        CPPUNIT_ASSERT(refused.has_value());
        CPPUNIT_ASSERT_EQUAL(history::part('G'), refused->fingerprint);
        CPPUNIT_ASSERT(refused->kind == content_kind::prompt_part);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, refused->crashes);
        CPPUNIT_ASSERT(refused->time_to_expiry > base::seconds{590});
    }

    // Guards against a crashing part that is forgotten because many sound parts have come since.
    void successes_of_many_parts_evict_no_crashes() {
        history played;
        played.apply("a:G b:G c:G");
        poison::crash_suspects_options const defaults;
        for (std::uint64_t number = 0; number < 3 * defaults.maximum_fingerprints; ++number)
            played.suspects().on_part_success(part_base * part_base + number, played.now());
        CPPUNIT_ASSERT(played.judge("G").has_value());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, played.suspects().size());
        poison::success_memory remembered{2};
        for (std::uint64_t const number : {1, 2, 1, 3})
            remembered.add(number, played.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, remembered.size());
        CPPUNIT_ASSERT(remembered.last(1).has_value() && !remembered.last(2).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_parts_verdict_test);

} // namespace cyclamenledge::tests
