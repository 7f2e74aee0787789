#pragma once

#include "admission/admission_controller.h"
#include "admission/mechanism.h"
#include "catalogue/service_class.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::policy_bench {

/// Admission at one target.
class target_policy {
public:
    target_policy() = default;
    target_policy(target_policy const&) = delete;
    target_policy& operator=(target_policy const&) = delete;
    virtual ~target_policy() = default;

    virtual admission::admission_decision offer(admission::admission_request const& request, base::time_point now) = 0;
    virtual std::vector<admission::admission_decision> poll(base::time_point now) = 0;
    virtual base::time_point next_poll() const = 0;
    virtual void on_token(std::uint64_t stream, base::time_point now) = 0;
    virtual void on_end(std::uint64_t stream, admission::stream_end end, base::time_point now) = 0;
    virtual void on_load_report(admission::load_report const& report, base::time_point now) = 0;
    /// Takes a length from before the run.
    virtual void learn(std::uint64_t /*organisation*/, std::uint64_t /*service_class*/, std::uint32_t /*length*/) {}
    virtual void on_incarnation(std::uint64_t id, base::duration uptime, base::time_point now) = 0;
};

constexpr std::uint64_t only_model = 1;

struct policy_setup {
    admission::target_limits limits;
    std::vector<catalogue::service_class> classes;
};

/// One column of the comparison.
struct policy_choice {
    std::string name;
    /// Round robin over the targets; otherwise the one with the fewest outstanding requests.
    bool round_robin{false};
    /// Targets that are asked before the request is refused.
    std::uint32_t attempts{2};
    std::function<std::unique_ptr<target_policy>(policy_setup const&)> make;
};

policy_choice controller_policy(std::string name, std::optional<admission::mechanism> without);
policy_choice unlimited_policy(std::string name, bool round_robin);
policy_choice fixed_limit_policy(std::uint32_t limit, bool unbounded_queue = false);
policy_choice mean_length_policy();

} // namespace cyclamenledge::policy_bench
