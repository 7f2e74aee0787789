#pragma once

#include "engine_model/engine.h"
#include "policy.h"
#include "workload.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::policy_bench {

struct simulation_parameters {
    engine_model::engine_parameters engine;
    admission::target_limits limits;
    std::uint32_t targets{4};
    double seconds{300};
    /// Requests still running this long after the last arrival count as failed.
    double drain_seconds{900};
    /// A target restarts cold at 0.2 and another one crashes at 0.5 of the run.
    bool faults{true};
    /// Requests whose lengths every target has learned before the run.
    std::vector<arrival> history;
};

struct class_result {
    std::string name;
    std::uint64_t offered{0};
    std::uint64_t completed{0};
    std::uint64_t good{0};
};

/// What one policy did with one load. Times are in milliseconds unless named otherwise.
struct run_result {
    std::string user;
    std::string policy;
    double load{0};
    double good_tokens_per_second{0};
    double good_requests_per_second{0};
    double tokens_per_second{0};
    double stall_seconds{0};
    std::uint64_t preemptions{0};
    double gap_p95{0};
    double gap_p99{0};
    double first_token_p95{0};
    std::uint64_t offered{0};
    std::uint64_t refused{0};
    std::uint64_t failed{0};
    /// Steps of a cold engine with more streams than it bears.
    std::uint64_t cold_overload_steps{0};
    std::uint64_t engine_failures{0};
    /// Mean running streams over the steps.
    double mean_batch{0};
    std::vector<class_result> classes;
};

run_result simulate(simulation_parameters const& parameters, user_shape const& user, policy_choice const& policy,
                    std::vector<arrival> const& arrivals);

} // namespace cyclamenledge::policy_bench
