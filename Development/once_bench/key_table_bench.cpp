/// Benchmarks the agent's key table with 1,000,000 keys: the time of a submit and its completion, and the bytes per
/// key.

#include "once/key_table.h"

#include <benchmark/benchmark.h>

#include <malloc.h>
#include <string>
#include <vector>

namespace {

using namespace cyclamenledge;

constexpr std::size_t key_count = 1'000'000;
constexpr base::milliseconds age_of_agent{60'000};
constexpr base::wall_time start_wall{base::milliseconds{1'800'000'000'000}};

void submit_and_complete(benchmark::State& state) {
    base::random_source random(1);
    once::clock_reading const start{base::time_point{}, start_wall};
    once::clock_reading const now{start.steady + age_of_agent, start.wall + age_of_agent};
    std::vector<std::string> scoped;
    std::vector<once::key_call> calls;
    for (std::size_t index = 0; index < key_count; ++index) {
        calls.push_back({"organisation", once::idempotency_key::issue(now.wall, random), 1, 1, now.steady, index});
        scoped.push_back(once::scoped_key("organisation", calls.back().key));
    }
    once::key_ownership const owners{"target", {}};
    std::string const body(static_cast<std::size_t>(state.range(0)), 'x');
    std::size_t bytes = 0;
    std::size_t refused = 0;
    once::key_limits limits;
    limits.maximum_keys = key_count;
    limits.maximum_answer_bytes = key_count * body.size();
    for (auto _ : state) {
        state.PauseTiming();
        auto const before = mallinfo2();
        {
            once::key_table table({"target", 1, limits}, start);
            state.ResumeTiming();
            for (std::size_t index = 0; index < key_count; ++index) {
                auto const decision = table.submit(calls[index], owners, now);
                refused += decision.action == once::key_action::run ? 0 : 1;
                benchmark::DoNotOptimize(table.complete(scoped[index], {200, body}, now));
            }
            state.PauseTiming();
            auto const after = mallinfo2();
            bytes = after.uordblks + after.hblkhd - before.uordblks - before.hblkhd;
            refused += key_count - table.size();
        }
        state.ResumeTiming();
    }
    if (refused > 0)
        state.SkipWithError("a key was refused");
    state.counters["ns_per_key"] =
        benchmark::Counter(static_cast<double>(key_count) / 1e9,
                           benchmark::Counter::kIsIterationInvariantRate | benchmark::Counter::kInvert);
    state.counters["bytes_per_key"] = static_cast<double>(bytes) / static_cast<double>(key_count);
}

} // namespace

BENCHMARK(submit_and_complete)->Arg(0)->Arg(32)->Unit(benchmark::kMillisecond);
BENCHMARK_MAIN();
