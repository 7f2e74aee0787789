#pragma once

#include "base/time.h"
#include "catalogue/service_class.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::policy_bench {

/// Requests of one class. Output lengths are lognormal, with a Pareto tail for some of them.
struct class_shape {
    catalogue::service_class parameters;
    double arrival_share{1};
    double median_length{60};
    double sigma{0.9};
    /// Share of requests whose length is multiplied by a Pareto factor.
    double tail_share{0.02};
    std::uint32_t shortest_prompt{100};
    std::uint32_t longest_prompt{300};
};

struct user_shape {
    std::string name;
    std::vector<class_shape> classes;
    std::uint32_t organisations{10};
    /// Applied to the output lengths in the middle third of the run.
    double middle_length_factor{1};
};

struct arrival {
    base::time_point at{};
    std::uint64_t organisation{0};
    std::size_t service_class{0};
    std::uint32_t prompt_tokens{0};
    std::uint32_t output_tokens{0};
    std::uint32_t prefix_tokens{0};
};

user_shape vatuloa();
user_shape fjordvinge();
/// The same user with lengths three times as long in the middle third of the run.
user_shape with_changed_lengths(user_shape user);
/// The same user while its second class sends six times as much.
user_shape with_flood(user_shape user);
/// Rate of all classes together relative to the user without a flood.
double total_share(user_shape const& user);

/// Poisson arrivals. The same seed gives the same sequence of requests at every rate, only spaced differently.
std::vector<arrival> make_arrivals(user_shape const& user, double per_second, double seconds, std::uint64_t seed);

} // namespace cyclamenledge::policy_bench
