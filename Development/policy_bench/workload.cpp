#include "workload.h"

#include "base/random.h"

#include <algorithm>
#include <cmath>

namespace cyclamenledge::policy_bench {

namespace {

constexpr std::uint32_t longest_output = 12000;
constexpr std::uint32_t shared_prefix = 64;

catalogue::service_class make_class(std::string name, catalogue::class_goal goal, std::uint32_t weight) {
    catalogue::service_class made;
    made.name = std::move(name);
    made.goal = goal;
    made.weight = weight;
    made.queue_limit = 32;
    // A request that waits longer cannot meet the first-token target of 390 ms.
    made.queue_deadline = base::milliseconds{300};
    return made;
}

/// Equal on every platform, unlike the distributions of the standard library.
double normal(base::random_source& random) {
    auto const first = 1.0 - random.unit();
    auto const second = random.unit();
    return std::sqrt(-2.0 * std::log(first)) * std::cos(2.0 * 3.14159265358979323846 * second);
}

std::uint32_t draw_length(class_shape const& shape, double organisation_factor, base::random_source& random) {
    auto length = shape.median_length * organisation_factor * std::exp(shape.sigma * normal(random));
    auto const tail = random.unit() < shape.tail_share;
    auto const pareto = std::pow(1.0 - random.unit(), -1.0 / 1.5);
    length *= tail ? pareto : 1.0;
    return static_cast<std::uint32_t>(std::clamp(length, 1.0, static_cast<double>(longest_output)));
}

std::size_t draw_class(user_shape const& user, base::random_source& random) {
    auto left = random.unit() * total_share(user);
    for (std::size_t index = 0; index + 1 < user.classes.size(); ++index) {
        if (left < user.classes[index].arrival_share)
            return index;
        left -= user.classes[index].arrival_share;
    }
    return user.classes.size() - 1;
}

} // namespace

user_shape vatuloa() {
    using catalogue::class_goal;
    return {"vatuloa",
            {{make_class("kiosk", class_goal::token_gap, 3), 0.7, 60, 0.9, 0.02, 100, 300},
             {make_class("office", class_goal::token_gap, 1), 0.3, 120, 1.0, 0.05, 100, 400}}};
}

user_shape fjordvinge() {
    using catalogue::class_goal;
    return {"fjordvinge",
            {{make_class("guide", class_goal::completion, 3), 0.4, 1000, 0.7, 0.05, 200, 600},
             {make_class("verdict", class_goal::completion, 1), 0.6, 15, 0.5, 0.0, 400, 900}}};
}

double total_share(user_shape const& user) {
    double sum = 0;
    for (auto const& each : user.classes)
        sum += each.arrival_share;
    return sum;
}

user_shape with_changed_lengths(user_shape user) {
    user.name += ", changed lengths";
    user.middle_length_factor = 3;
    return user;
}

user_shape with_flood(user_shape user) {
    user.name += ", flood";
    user.classes.back().arrival_share *= 6;
    return user;
}

std::vector<arrival> make_arrivals(user_shape const& user, double per_second, double seconds, std::uint64_t seed) {
    base::random_source random(seed);
    std::vector<arrival> arrivals;
    double at = 0;
    while (true) {
        at += -std::log(1.0 - random.unit()) / per_second;
        if (at >= seconds)
            return arrivals;
        arrival next;
        next.at = base::time_point{base::from_seconds(at)};
        // A few organisations send most of the requests, and their lengths differ.
        auto const skewed = random.unit();
        next.organisation = 1 + static_cast<std::uint64_t>(skewed * skewed * user.organisations);
        next.service_class = draw_class(user, random);
        auto const& shape = user.classes[next.service_class];
        auto const middle = at > seconds / 3 && at < seconds * 2 / 3;
        auto const factor =
            (0.5 + static_cast<double>(next.organisation % 4) * 0.4) * (middle ? user.middle_length_factor : 1.0);
        next.prompt_tokens = shape.shortest_prompt +
                             static_cast<std::uint32_t>(random.unit() * (shape.longest_prompt - shape.shortest_prompt));
        next.output_tokens = draw_length(shape, factor, random);
        next.prefix_tokens = shared_prefix;
        arrivals.push_back(next);
    }
}

} // namespace cyclamenledge::policy_bench
