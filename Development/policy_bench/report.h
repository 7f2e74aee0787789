#pragma once

#include "simulation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::policy_bench {

/// What the calibration found for one user and one engine.
struct capacity_result {
    std::string user;
    std::uint32_t fixed_limit{0};
    double tokens_per_second{0};
    double requests_per_second{0};
};

/// One stated target and whether it was met.
struct target_check {
    std::string user;
    std::string name;
    double measured{0};
    double bound{0};
    bool met{false};
};

struct bench_results {
    std::uint64_t seed{0};
    simulation_parameters parameters;
    std::vector<capacity_result> capacities;
    std::vector<run_result> comparison;
    std::vector<run_result> ablation;
    std::vector<target_check> checks;
};

std::vector<target_check> check_targets(std::vector<run_result> const& comparison,
                                        std::vector<run_result> const& ablation);
std::string to_json(bench_results const& results);
std::string to_markdown(bench_results const& results);
/// A line chart of one figure over the offered load, one line per policy.
std::string to_svg(std::vector<run_result> const& runs, std::string const& user, std::string const& title,
                   double (*figure)(run_result const&));

} // namespace cyclamenledge::policy_bench
