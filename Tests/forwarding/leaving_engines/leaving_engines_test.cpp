#include "forwarding/reservation_controller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <optional>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;

constexpr base::time_point replay_start{std::chrono::hours{1}};
constexpr auto step = 50ms;
// Tokens that an engine reads and that each of its requests generates in a step, and tokens that a link copies in it.
constexpr std::uint32_t read_per_step = 350;
constexpr double generated_per_step = 5.5;
constexpr double copied_per_step = 900;
constexpr std::uint32_t memory = 26926;

struct run {
    std::string request;
    double prompt_left{0};
    double tokens{0};
    double end_tokens{0};
    double copied{0};
    /// Index of the engine that holds memory for its copy.
    std::optional<std::size_t> copy_at;
};

struct engine {
    reservation_controller controller;
    std::vector<run> runs;
    double held{0};
    bool leaving{false};

    engine_report report() const {
        engine_report result;
        result.started_at = 1;
        result.total_tokens = memory;
        result.leaving = leaving;
        double used = held;
        for (auto const& one : runs) {
            used += one.tokens;
            if (one.prompt_left > 0)
                result.reading += 1;
            else
                result.generating.push_back({one.request, static_cast<std::uint32_t>(one.tokens)});
        }
        result.running = static_cast<std::uint32_t>(runs.size());
        result.used_tokens = static_cast<std::uint32_t>(used);
        result.held_tokens = static_cast<std::uint32_t>(held);
        return result;
    }
};

/// A failure domain of 23 engines during a burst: long streams always wait for room, and short urgent ones arrive as
/// often as in a burst of customer 1. Four of the engines (17%) leave after 12 s and stop 1.5 s later.
class domain_replay {
public:
    domain_replay(unsigned seed, bool keep_room)
        : random_(seed)
        , keep_room_(keep_room)
        , engines_(23) {}

    /// Returns the number of streams that were cut.
    int play() {
        for (; now_ < replay_start + 12s; now_ += step)
            advance();
        for (std::size_t number = 0; number < leaving_engines; ++number)
            engines_[number].leaving = true;
        for (; now_ < replay_start + 13500ms; now_ += step) {
            advance();
            for (std::size_t number = 0; number < leaving_engines; ++number)
                copy(engines_[number]);
        }
        int cut = 0;
        for (std::size_t number = 0; number < leaving_engines; ++number)
            cut += static_cast<int>(engines_[number].runs.size());
        return cut;
    }
    int served() const { return served_; }

private:
    static constexpr std::size_t leaving_engines = 4;

    void advance() {
        for (auto& one : engines_)
            run_engine(one);
        // 28.5 short streams a second, 1.8 times as often in a burst, at half of the engines.
        std::poisson_distribution<int> arrivals{28.5 * 1.8 * 0.05 / 2};
        for (int count = arrivals(random_); count > 0; --count)
            ask(engines_[std::uniform_int_distribution<std::size_t>{0, engines_.size() - 1}(random_)], 0, 2200, 12);
        for (auto& one : engines_)
            ask(one, 2, 3000, 744);
    }

    void run_engine(engine& one) {
        double reading = read_per_step;
        for (auto& item : one.runs) {
            if (item.prompt_left > 0) {
                auto const read = std::min(reading, item.prompt_left);
                item.prompt_left -= read;
                item.tokens += read;
                reading -= read;
            } else {
                item.tokens += generated_per_step;
            }
        }
        for (auto const& item : one.runs) {
            if (item.tokens >= item.end_tokens && item.copy_at)
                engines_[*item.copy_at].held -= item.end_tokens;
        }
        served_ +=
            static_cast<int>(std::erase_if(one.runs, [](run const& item) { return item.tokens >= item.end_tokens; }));
        take(one, one.controller.observe(one.report(), now_));
    }

    void ask(engine& one, std::uint32_t priority, std::uint32_t prompt, std::uint32_t output) {
        auto const request = std::to_string(next_++);
        // Callers know the length of the output roughly.
        auto const length = output * std::uniform_real_distribution{0.7, 1.3}(random_);
        pending_.push_back({request, static_cast<double>(prompt), 0, prompt + length, 0, std::nullopt});
        reservation_request const wanted{1, request, prompt, prompt + output, 24, false};
        if (keep_room_)
            take(one, one.controller.request({wanted, urgency::of_route(priority), now_, now_ + 1s, now_ + 300ms},
                                             one.report(), now_));
        else
            take(one, {{1, request, one.controller.grant_immediately(wanted, one.report(), now_), std::nullopt}});
    }

    void take(engine& one, reservation_controller::answers const& answers) {
        for (auto const& answer : answers) {
            auto const found = std::ranges::find(pending_, answer.request, &run::request);
            if (found == pending_.end())
                continue;
            if (answer.granted)
                one.runs.push_back(*found);
            pending_.erase(found);
        }
    }

    /// Copies one request after another, the smallest first, to the engine with the most free memory.
    void copy(engine& source) {
        double left = copied_per_step;
        while (left > 0) {
            auto const next = std::ranges::min_element(source.runs, {}, [](run const& item) {
                return std::tuple{!item.copy_at.has_value(), item.prompt_left > 0, item.tokens};
            });
            if (next == source.runs.end() || next->prompt_left > 0 || (!next->copy_at && !hold(*next)))
                return;
            auto const copied = std::min(left, next->tokens - next->copied);
            next->copied += copied;
            left -= copied;
            if (next->copied < next->tokens)
                return;
            auto& target = engines_[*next->copy_at];
            target.held -= next->end_tokens;
            target.runs.push_back({next->request, 0, next->tokens, next->end_tokens, 0, std::nullopt});
            source.runs.erase(next);
        }
    }

    bool hold(run& item) {
        auto const target = std::min_element(engines_.begin() + leaving_engines, engines_.end(),
                                             [](engine const& one, engine const& other) {
                                                 return one.report().used_tokens < other.report().used_tokens;
                                             });
        reservation_request const wanted{1, item.request, 0, static_cast<std::uint32_t>(item.end_tokens), 24, false};
        if (!target->controller.grant_immediately(wanted, target->report(), now_))
            return false;
        target->held += item.end_tokens;
        item.copy_at = static_cast<std::size_t>(target - engines_.begin());
        return true;
    }

    std::mt19937 random_;
    bool keep_room_;
    std::vector<engine> engines_;
    std::vector<run> pending_;
    base::time_point now_{replay_start};
    int next_{0};
    int served_{0};
};

} // namespace

class leaving_engines_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(leaving_engines_test);
    CPPUNIT_TEST(streams_fit_into_the_rest_of_the_domain);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against streams that are cut because their domain is full when 17% of its engines leave in a burst.
    void streams_fit_into_the_rest_of_the_domain() {
        int cut_without_room = 0;
        for (unsigned const seed : {1U, 2U, 3U, 4U, 5U}) {
            domain_replay replay{seed, true};
            auto const cut = replay.play();
            CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ": " + std::to_string(cut) + " streams were cut, " +
                                       std::to_string(replay.served()) + " served",
                                   cut == 0);
            // The room that is kept free does not leave the engines idle.
            CPPUNIT_ASSERT(replay.served() > 200);
            domain_replay crowded{seed, false};
            cut_without_room += crowded.play();
        }
        CPPUNIT_ASSERT(cut_without_room > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_engines_test);

} // namespace cyclamenledge::tests
