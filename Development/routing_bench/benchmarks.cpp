#include "allocations.h"
#include "limits/credit_issuer.h"
#include "limits/home_entry.h"
#include "limits/organisation_limiter.h"
#include "routing/tables.h"

#include <benchmark/benchmark.h>

#include <string>
#include <vector>

namespace cyclamenledge::routing_bench {

namespace {

using namespace std::chrono_literals;

base::time_point const start{1h};
constexpr std::size_t organisations = 14000;

/// Reports the allocations per iteration.
class allocation_meter {
public:
    explicit allocation_meter(benchmark::State& state)
        : state_(state)
        , before_(allocation_count()) {}
    ~allocation_meter() {
        state_.counters["allocations"] =
            benchmark::Counter(static_cast<double>(allocation_count() - before_), benchmark::Counter::kAvgIterations);
    }
    allocation_meter(allocation_meter const&) = delete;
    allocation_meter& operator=(allocation_meter const&) = delete;

private:
    benchmark::State& state_;
    std::uint64_t before_;
};

void choose(benchmark::State& state, tests::fleet const& size, bool explain) {
    auto table = tests::table_builder(tests::make_catalogue(size)).build(start - 60s).value();
    tests::report_all_warm(table, start);
    routing::route_request request;
    request.service = "service-0";
    request.explain = explain;
    std::uint64_t count = 0;
    allocation_meter const meter{state};
    for (auto _ : state) {
        request.prefix = ++count % 5000 + 1;
        auto const decision = table.choose(request, start + 1s);
        table.on_sent(decision.target, request.prefix, start + 1s);
        table.on_outcome(decision.target, routing::attempt_outcome::success, 1s, start + 1s);
        benchmark::DoNotOptimize(decision.target);
    }
}
BENCHMARK_CAPTURE(choose, target_size, tests::fleet{}, false);
BENCHMARK_CAPTURE(choose, target_size_explained, tests::fleet{}, true);
BENCHMARK_CAPTURE(choose, today, tests::fleet{6, 15, 1, 3, 3}, false);

void build_table(benchmark::State& state) {
    auto const published = tests::make_catalogue({});
    for (auto _ : state)
        benchmark::DoNotOptimize(tests::table_builder(published).build(start).value().targets().size());
}
BENCHMARK(build_table)->Unit(benchmark::kMillisecond);

catalogue::catalogue_pointer credit_catalogue(std::size_t entries) {
    tests::fleet size;
    size.entries = entries;
    size.organisations = organisations;
    return tests::make_catalogue(size);
}

std::vector<std::string> organisation_names() {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < organisations; ++i)
        names.push_back(tests::numbered("organisation-", i));
    return names;
}

/// Every organisation has been admitted once and holds ample credit.
limits::organisation_limiter credited(catalogue::catalogue_pointer const& published,
                                      std::vector<std::string> const& names) {
    limits::organisation_limiter limiter{"entry-0", published};
    for (auto const& name : names) {
        auto const decision = limiter.admit(name, limits::offer_kind::first, start);
        if (decision.request)
            limiter.on_grant({name, decision.request->sequence, {1e9, 1e9}, 1000, limits::credit_lease}, start);
    }
    return limiter;
}

void admit(benchmark::State& state) {
    auto const names = organisation_names();
    auto const published = credit_catalogue(330);
    auto limiter = credited(published, names);
    std::size_t next = 0;
    allocation_meter const meter{state};
    for (auto _ : state) {
        auto const& name = names[next = (next + 7919) % organisations];
        auto const decision = limiter.admit(name, limits::offer_kind::first, start + 1s);
        if (decision.action != limits::limit_action::admit)
            state.SkipWithError("a request was not admitted");
        limiter.on_end(name, start + 1s);
    }
}
BENCHMARK(admit);

void poll_limiter(benchmark::State& state) {
    auto const names = organisation_names();
    auto const published = credit_catalogue(330);
    auto limiter = credited(published, names);
    for (auto _ : state)
        benchmark::DoNotOptimize(limiter.poll(start).size());
}
BENCHMARK(poll_limiter)->Unit(benchmark::kMicrosecond);

void grant(benchmark::State& state) {
    auto const names = organisation_names();
    auto const published = credit_catalogue(static_cast<std::size_t>(state.range(0)));
    auto const holders = static_cast<std::size_t>(state.range(1));
    // With one published entry it is the home of all organisations, otherwise of the few that hash to it.
    std::vector<limits::credit_request> asks;
    for (auto const& name : names) {
        if (limits::home_entry(*published, *published->find_organisation(name)) != "entry-0")
            continue;
        for (std::size_t i = 0; i < holders; ++i)
            asks.push_back({name, tests::numbered("entry-", i), 1, {10, 1000}, {4, 400}, 3, 0});
    }
    limits::credit_issuer issuer{"entry-0", published, start - 10s};
    std::size_t next = 0;
    auto now = start;
    allocation_meter const meter{state};
    for (auto _ : state) {
        next = (next + 1) % asks.size();
        now += next == 0 ? 400ms : 0ms;
        benchmark::DoNotOptimize(issuer.request(asks[next], now).has_value());
    }
}
BENCHMARK(grant)->ArgNames({"entries", "holders"})->Args({1, 1})->Args({330, 330});

} // namespace

} // namespace cyclamenledge::routing_bench
