#include "report.h"

#include <boost/json.hpp>

#include <algorithm>
#include <array>
#include <cstdarg>
#include <cstdio>

namespace cyclamenledge::policy_bench {

namespace {

constexpr std::string_view controller_name = "controller";

/// Reasons for mechanisms that the ablation does not justify by itself.
constexpr std::string_view mechanism_notes = R"(
In the scenario "changed lengths" every target has learned 5,000 requests beforehand and outputs are three times as long
in the middle third. In the scenario "flood" the second class sends six times as much.

Mechanisms that stay although a table above shows no gain or a loss of goodput:

- Length reservation, the quantile and the conditional tail lower Fjordvinge's goodput and avoid preemptions and stalls,
  which that user weighs highest. Vatuloa's outputs are short, so memory does not decide there.
- The weighted order of the queue shows no gain, because early refusal keeps the queue short. It guarantees that no class
  starves when queue deadlines are long (test `no_class_starves`).
- The bound of the queue shows no gain beside early refusal. It bounds the memory of the agent (test `queue_is_bounded`).
- Ageing shows a small gain for Fjordvinge and none for Vatuloa within 300 s. Without it an old history hides a change (test `follows_a_sudden_change`).
- The goal of a class lowers goodput slightly; it lowers the p99 gap of `token_gap` and the preemptions of `completion`.
)";

std::string text(char const* format, ...) {
    std::array<char, 512> buffer{};
    std::va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(buffer.data(), buffer.size(), format, arguments);
    va_end(arguments);
    return buffer.data();
}

boost::json::object to_object(run_result const& run) {
    boost::json::array classes;
    for (auto const& each : run.classes)
        classes.push_back(
            {{"name", each.name}, {"offered", each.offered}, {"completed", each.completed}, {"good", each.good}});
    return {{"user", run.user},
            {"policy", run.policy},
            {"load", run.load},
            {"good_tokens_per_second", run.good_tokens_per_second},
            {"good_requests_per_second", run.good_requests_per_second},
            {"stall_seconds", run.stall_seconds},
            {"preemptions", run.preemptions},
            {"gap_p95_ms", run.gap_p95},
            {"gap_p99_ms", run.gap_p99},
            {"first_token_p95_ms", run.first_token_p95},
            {"offered", run.offered},
            {"refused", run.refused},
            {"failed", run.failed},
            {"cold_overload_steps", run.cold_overload_steps},
            {"engine_failures", run.engine_failures},
            {"mean_batch", run.mean_batch},
            {"classes", classes}};
}

std::string class_cell(run_result const& run) {
    std::string cell;
    for (auto const& each : run.classes)
        cell += text(
            "%s%s %.0f%%", cell.empty() ? "" : ", ", each.name.c_str(),
            each.offered == 0 ? 0.0 : 100.0 * static_cast<double>(each.completed) / static_cast<double>(each.offered));
    return cell;
}

std::string table(std::vector<run_result> const& runs) {
    std::string out = "| user | load | policy | good tokens/s | good requests/s | stall s | preemptions | gap p95 ms | "
                      "gap p99 ms | first token p95 ms | refused % | failed | cold overload steps | completed |\n"
                      "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
    for (auto const& run : runs)
        out += text("| %s | %.1f | %s | %.0f | %.2f | %.0f | %llu | %.1f | %.1f | %.0f | %.1f | %llu | %llu | %s |\n",
                    run.user.c_str(), run.load, run.policy.c_str(), run.good_tokens_per_second,
                    run.good_requests_per_second, run.stall_seconds, static_cast<unsigned long long>(run.preemptions),
                    run.gap_p95, run.gap_p99, run.first_token_p95,
                    100.0 * static_cast<double>(run.refused) /
                        static_cast<double>(std::max<std::uint64_t>(1, run.offered)),
                    static_cast<unsigned long long>(run.failed),
                    static_cast<unsigned long long>(run.cold_overload_steps), class_cell(run).c_str());
    return out;
}

run_result const* find(std::vector<run_result> const& runs, std::string const& user, std::string_view policy,
                       double load) {
    auto const found = std::find_if(runs.begin(), runs.end(), [&](run_result const& run) {
        return run.user == user && run.policy == policy && run.load == load;
    });
    return found == runs.end() ? nullptr : &*found;
}

/// Share of the offered requests that completed, of the class for which it is lowest.
double worst_class(run_result const& run) {
    double worst = 1;
    for (auto const& each : run.classes) {
        if (each.offered != 0)
            worst = std::min(worst, static_cast<double>(each.completed) / static_cast<double>(each.offered));
    }
    return worst;
}

} // namespace

std::vector<target_check> check_targets(std::vector<run_result> const& comparison,
                                        std::vector<run_result> const& ablation) {
    std::vector<target_check> checks;
    for (std::string const user : {"vatuloa", "fjordvinge"}) {
        auto const* full = find(comparison, user, controller_name, 1.0);
        auto const* over = find(comparison, user, controller_name, 1.3);
        auto const* robin = find(comparison, user, "round robin", 1.3);
        if (full == nullptr || over == nullptr || robin == nullptr)
            continue;
        auto const kept = over->good_tokens_per_second / std::max(1.0, full->good_tokens_per_second);
        checks.push_back({user, "goodput at 1.3 over goodput at 1.0, at least", kept, 0.9, kept >= 0.9});
        auto const allowed = static_cast<double>(robin->preemptions) / 10;
        auto const preempted = static_cast<double>(over->preemptions);
        checks.push_back(
            {user, "preemptions at 1.3, at most a tenth of round robin", preempted, allowed, preempted <= allowed});
        auto best = robin->gap_p99;
        auto floor = find(comparison, user, controller_name, 0.5)->gap_p99;
        for (auto const* name : {"least outstanding", "fixed limit", "mean length"})
            best = std::min(best, find(comparison, user, name, 1.3)->gap_p99);
        checks.push_back({user, "gap p99 at 1.3 in ms, at most half of the best baseline", over->gap_p99, best / 2,
                          over->gap_p99 <= best / 2});
        checks.push_back({user, "gap p99 at 1.3 in ms, at most the engine's floor (p99 at 0.5 load)", over->gap_p99,
                          floor, over->gap_p99 <= floor});
        double worst = 1;
        std::uint64_t cold = 0;
        for (auto const& run : comparison) {
            if (run.user != user || run.policy != controller_name)
                continue;
            worst = std::min(worst, worst_class(run));
            cold += run.cold_overload_steps;
        }
        for (auto const& run : ablation) {
            if (run.user.starts_with(user) && run.policy == controller_name)
                cold += run.cold_overload_steps;
        }
        checks.push_back({user, "share completed of the worst class at any load, at least", worst, 0.1, worst >= 0.1});
        checks.push_back(
            {user, "cold overload steps over all loads and scenarios", static_cast<double>(cold), 0, cold == 0});
    }
    return checks;
}

std::string to_json(bench_results const& results) {
    boost::json::array comparison;
    for (auto const& run : results.comparison)
        comparison.push_back(to_object(run));
    boost::json::array ablation;
    for (auto const& run : results.ablation)
        ablation.push_back(to_object(run));
    boost::json::array capacities;
    for (auto const& each : results.capacities)
        capacities.push_back({{"user", each.user},
                              {"fixed_limit", each.fixed_limit},
                              {"tokens_per_second_per_engine", each.tokens_per_second},
                              {"requests_per_second_per_engine", each.requests_per_second}});
    boost::json::array checks;
    for (auto const& each : results.checks)
        checks.push_back({{"user", each.user},
                          {"target", each.name},
                          {"measured", each.measured},
                          {"bound", each.bound},
                          {"met", each.met}});
    boost::json::object const document{{"seed", results.seed},     {"seconds", results.parameters.seconds},
                                       {"capacities", capacities}, {"comparison", comparison},
                                       {"ablation", ablation},     {"checks", checks}};
    return boost::json::serialize(document) + "\n";
}

std::string to_markdown(bench_results const& results) {
    auto out =
        text("## Admission under load\n\nWritten by `Meta/bench.sh`; seed %llu, %u engines of the model, %.0f s of "
             "virtual time, %u tokens of memory per engine. One engine is restarted cold at 20%% of the run and "
             "another one crashes at 50%%; every policy meets both.\n\n",
             static_cast<unsigned long long>(results.seed), results.parameters.targets, results.parameters.seconds,
             results.parameters.engine.memory_tokens);
    out +=
        "A request is good when it completed, its first token came within 390 ms and at least 95 in 100 of its gaps "
        "were within 49 ms. A stall is the part beyond the target of a gap above four times the target. The capacity "
        "is the highest rate of a warm engine with a permanent backlog whose p95 gap is within 49 ms; the fixed-limit "
        "baseline uses the limit found there.\n\n| user | limit | tokens/s per engine | requests/s per engine |\n"
        "|---|---|---|---|\n";
    for (auto const& each : results.capacities)
        out += text("| %s | %u | %.0f | %.2f |\n", each.user.c_str(), each.fixed_limit, each.tokens_per_second,
                    each.requests_per_second);
    out += "\n### Targets\n\n| user | target | measured | bound | result |\n|---|---|---|---|---|\n";
    for (auto const& each : results.checks)
        out += text("| %s | %s | %.3g | %.3g | %s |\n", each.user.c_str(), each.name.c_str(), each.measured, each.bound,
                    each.met ? "met" : "missed");
    out += "\n### Comparison\n\n" + table(results.comparison);
    out += "\n### Ablation\n\nThe controller with one mechanism turned off.\n\n" + table(results.ablation);
    out += mechanism_notes;
    return out + "\n";
}

std::string to_svg(std::vector<run_result> const& runs, std::string const& user, std::string const& title,
                   double (*figure)(run_result const&)) {
    constexpr double width = 640;
    constexpr double height = 360;
    constexpr double margin = 50;
    constexpr double highest_load = 2.0;
    constexpr std::array<char const*, 5> colours{"#1b6ca8", "#c0392b", "#e08e0b", "#3c8d40", "#7d3c98"};
    double top = 0;
    std::vector<std::string> policies;
    for (auto const& run : runs) {
        if (run.user != user)
            continue;
        top = std::max(top, figure(run));
        if (std::find(policies.begin(), policies.end(), run.policy) == policies.end())
            policies.push_back(run.policy);
    }
    top = top > 0 ? top * 1.05 : 1;
    auto out =
        text("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" height=\"%.0f\" font-family=\"sans-serif\" "
             "font-size=\"11\">\n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
             "<text x=\"%.0f\" y=\"20\" font-size=\"14\">%s, %s</text>\n",
             width, height, margin, user.c_str(), title.c_str());
    out +=
        text("<path d=\"M%.0f 30V%.0fH%.0f\" fill=\"none\" stroke=\"black\"/>\n", margin, height - margin, width - 130);
    auto const x_of = [&](double load) { return margin + load / highest_load * (width - 180); };
    auto const y_of = [&](double value) { return height - margin - value / top * (height - margin - 30); };
    for (double const load : {0.5, 0.8, 1.0, 1.3, 2.0})
        out += text("<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"middle\">%.1f</text>\n", x_of(load),
                    height - margin + 16, load);
    for (int step = 0; step <= 4; ++step)
        out += text("<text x=\"%.0f\" y=\"%.0f\" text-anchor=\"end\">%.0f</text>\n", margin - 4,
                    y_of(top * step / 4) + 4, top * step / 4);
    out += text("<text x=\"%.0f\" y=\"%.0f\">load over capacity</text>\n", width / 2 - 80, height - 12);
    for (std::size_t index = 0; index < policies.size(); ++index) {
        auto const* colour = colours[index % colours.size()];
        std::string points;
        for (auto const& run : runs) {
            if (run.user == user && run.policy == policies[index])
                points += text("%.1f,%.1f ", x_of(run.load), y_of(figure(run)));
        }
        out +=
            text("<polyline points=\"%s\" fill=\"none\" stroke=\"%s\" stroke-width=\"2\"/>\n", points.c_str(), colour);
        out += text("<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n", width - 120,
                    50 + 16.0 * static_cast<double>(index), colour, policies[index].c_str());
    }
    return out + "</svg>\n";
}

} // namespace cyclamenledge::policy_bench
