#include "comparison.h"

#include <CLI/CLI.hpp>
#include <benchmark/benchmark.h>

#include <cstdint>
#include <vector>

/// Runs the benchmarks, or the comparison of routing choices when seeds are given.
int main(int argument_count, char** arguments) {
    benchmark::Initialize(&argument_count, arguments);
    CLI::App application{"Benchmarks of routing and limits"};
    std::vector<std::uint64_t> seeds;
    application.add_option("--compare", seeds, "Seeds of the comparison of routing choices");
    CLI11_PARSE(application, argument_count, arguments);
    if (seeds.empty())
        benchmark::RunSpecifiedBenchmarks();
    for (auto const seed : seeds)
        cyclamenledge::routing_bench::compare_choices(seed);
    return 0;
}
