#include "report.h"

#include <CLI/CLI.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>
#include <utility>

namespace cyclamenledge::policy_bench {

namespace {

using admission::mechanism;

constexpr double history_requests = 5000;
constexpr std::array loads{0.5, 0.8, 1.0, 1.3, 2.0};
constexpr std::array<std::pair<char const*, mechanism>, 13> ablations{{
    {"no length reservation", mechanism::length_reservation},
    {"median instead of quantile", mechanism::length_quantile},
    {"sum of quantiles", mechanism::pooled_spread},
    {"no conditional tail", mechanism::conditional_tail},
    {"no ageing", mechanism::ageing},
    {"no batch bound", mechanism::batch_bound},
    {"no warm-up", mechanism::warmup},
    {"report replaces own count", mechanism::own_count},
    {"first in, first out", mechanism::fair_queue},
    {"no share guard", mechanism::share_guard},
    {"no early refusal", mechanism::early_refusal},
    {"no queue bound", mechanism::queue_bound},
    {"same goal for all classes", mechanism::class_goal},
}};

double mean_length(std::vector<arrival> const& arrivals) {
    double sum = 0;
    for (auto const& each : arrivals)
        sum += each.output_tokens;
    return arrivals.empty() ? 1 : sum / static_cast<double>(arrivals.size());
}

/// Finds the fixed limit with the highest rate whose p95 gap meets the target, on one warm engine with a backlog.
capacity_result calibrate(simulation_parameters parameters, user_shape const& user, std::uint64_t seed) {
    constexpr std::uint32_t limit_step = 2;
    parameters.targets = 1;
    parameters.faults = false;
    capacity_result best{.user = user.name};
    // The backlog outlasts the run, so that the rate is not lowered by the last streams running alone.
    constexpr double backlog_rate = 20.0;
    parameters.seconds = 240;
    parameters.drain_seconds = 0;
    auto backlog = make_arrivals(user, backlog_rate, parameters.seconds, seed);
    auto const mean = mean_length(backlog);
    for (auto& each : backlog)
        each.at = {};
    for (std::uint32_t limit = limit_step; limit <= parameters.limits.maximum_running; limit += limit_step) {
        auto const run = simulate(parameters, user, fixed_limit_policy(limit, true), backlog);
        if (run.gap_p95 <= 49.0 && run.tokens_per_second > best.tokens_per_second)
            best = {user.name, limit, run.tokens_per_second, run.tokens_per_second / mean};
    }
    return best;
}

void write(std::filesystem::path const& path, std::string const& content) {
    std::ofstream(path) << content;
}

int run(std::uint64_t seed, double seconds, std::filesystem::path const& folder) {
    bench_results results;
    results.seed = seed;
    results.parameters.seconds = seconds;
    results.parameters.engine.memory_tokens = 32000;
    results.parameters.limits = {32000, 64, results.parameters.engine.cold_initial_capacity};
    for (auto const& user : {vatuloa(), fjordvinge()}) {
        auto const capacity = calibrate(results.parameters, user, seed);
        results.capacities.push_back(capacity);
        std::vector<policy_choice> const policies{controller_policy("controller", std::nullopt),
                                                  unlimited_policy("round robin", true),
                                                  unlimited_policy("least outstanding", false),
                                                  fixed_limit_policy(capacity.fixed_limit), mean_length_policy()};
        for (auto const load : loads) {
            auto const rate = capacity.requests_per_second * results.parameters.targets * load;
            auto const arrivals = make_arrivals(user, rate, seconds, seed);
            auto const run_one = [&](policy_choice const& policy, std::vector<run_result>& into) {
                into.push_back(simulate(results.parameters, user, policy, arrivals));
                into.back().load = load;
            };
            for (auto const& policy : policies)
                run_one(policy, results.comparison);
        }
        for (auto const& scenario :
             {std::pair(user, 1.3), std::pair(with_changed_lengths(user), 0.8), std::pair(with_flood(user), 1.0)}) {
            auto const& shape = scenario.first;
            auto const load = scenario.second;
            auto const rate = capacity.requests_per_second * results.parameters.targets * load * total_share(shape);
            auto const arrivals = make_arrivals(shape, rate, seconds, seed);
            // A change of lengths is met with a long history of the former ones.
            auto with_history = results.parameters;
            if (shape.middle_length_factor != 1)
                with_history.history = make_arrivals(user, history_requests, 1, seed + 1);
            auto const run_one = [&](policy_choice const& policy) {
                results.ablation.push_back(simulate(with_history, shape, policy, arrivals));
                results.ablation.back().load = load;
            };
            run_one(policies.front());
            for (auto const& [name, part] : ablations)
                run_one(controller_policy(name, part));
        }
    }
    results.checks = check_targets(results.comparison, results.ablation);
    std::filesystem::create_directories(folder);
    write(folder / "policy_bench.json", to_json(results));
    write(folder / "admission.md", to_markdown(results));
    for (std::string const user : {"vatuloa", "fjordvinge"}) {
        write(folder / ("admission_goodput_" + user + ".svg"),
              to_svg(results.comparison, user, "good tokens/s",
                     [](run_result const& each) { return each.good_tokens_per_second; }));
        write(folder / ("admission_gap_" + user + ".svg"),
              to_svg(results.comparison, user, "gap p99 in ms", [](run_result const& each) { return each.gap_p99; }));
    }
    std::cout << to_markdown(results);
    return 0;
}

} // namespace

} // namespace cyclamenledge::policy_bench

int main(int argument_count, char** arguments) {
    CLI::App app("Compares admission policies on the engine model in virtual time");
    std::uint64_t seed = 1;
    double seconds = 300;
    std::string folder = ".";
    app.add_option("--seed", seed, "Seed of the load");
    app.add_option("--seconds", seconds, "Virtual seconds of arrivals")->check(CLI::PositiveNumber);
    app.add_option("--output", folder, "Folder for JSON, Markdown and plots");
    CLI11_PARSE(app, argument_count, arguments);
    return cyclamenledge::policy_bench::run(seed, seconds, folder);
}
