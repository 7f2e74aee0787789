#include "policy.h"

#include "admission/admission_controller_builder.h"
#include "base/hash.h"

#include <algorithm>
#include <deque>
#include <unordered_map>
#include <utility>

namespace cyclamenledge::policy_bench {

namespace {

using admission::admission_decision;
using admission::admission_outcome;
using admission::admission_request;

class controller_target final : public target_policy {
public:
    explicit controller_target(admission::admission_controller controller)
        : controller_(std::move(controller)) {}

    admission_decision offer(admission_request const& request, base::time_point now) override {
        return controller_.offer(request, now);
    }
    std::vector<admission_decision> poll(base::time_point now) override { return controller_.poll(now); }
    base::time_point next_poll() const override { return controller_.next_poll(); }
    void on_token(std::uint64_t stream, base::time_point now) override { controller_.on_token(stream, 1, now); }
    void on_end(std::uint64_t stream, admission::stream_end end, base::time_point now) override {
        controller_.on_end(stream, end, now);
    }
    void on_load_report(admission::load_report const& report, base::time_point now) override {
        controller_.on_load_report(report, now);
    }
    void on_incarnation(std::uint64_t id, base::duration uptime, base::time_point now) override {
        controller_.on_incarnation(id, uptime, now);
    }
    void learn(std::uint64_t organisation, std::uint64_t service_class, std::uint32_t length) override {
        controller_.predictor().observe(organisation, service_class, only_model, length);
    }

private:
    admission::admission_controller controller_;
};

/// Baselines: first in, first out behind one condition.
class simple_target : public target_policy {
public:
    simple_target(policy_setup setup, bool unbounded_queue)
        : setup_(std::move(setup))
        , unbounded_queue_(unbounded_queue) {}

    admission_decision offer(admission_request const& request, base::time_point now) override {
        if (waiting_.empty() && fits(request)) {
            start(request);
            return {.stream = request.stream};
        }
        auto const& of_class = *std::find_if(setup_.classes.begin(), setup_.classes.end(), [&](auto const& each) {
            return base::hash_text(each.name) == request.service_class;
        });
        if (!unbounded_queue_ && waiting_.size() >= of_class.queue_limit)
            return {.stream = request.stream, .outcome = admission_outcome::refuse};
        waiting_.push_back({request, unbounded_queue_ ? base::time_point::max() : now + of_class.queue_deadline});
        return {.stream = request.stream, .outcome = admission_outcome::queue};
    }

    std::vector<admission_decision> poll(base::time_point now) override {
        std::vector<admission_decision> decisions;
        std::erase_if(waiting_, [&](waiting const& each) {
            if (each.give_up_at > now)
                return false;
            decisions.push_back({.stream = each.request.stream, .outcome = admission_outcome::refuse});
            return true;
        });
        while (!waiting_.empty() && fits(waiting_.front().request)) {
            start(waiting_.front().request);
            decisions.push_back({.stream = waiting_.front().request.stream});
            waiting_.pop_front();
        }
        return decisions;
    }

    base::time_point next_poll() const override {
        auto earliest = base::time_point::max();
        for (auto const& each : waiting_)
            earliest = std::min(earliest, each.give_up_at);
        return earliest;
    }

    void on_token(std::uint64_t stream, base::time_point /*now*/) override {
        if (auto const found = running_.find(stream); found != running_.end())
            ++found->second.second;
    }
    void on_end(std::uint64_t stream, admission::stream_end end, base::time_point /*now*/) override {
        if (auto const found = running_.find(stream); found != running_.end()) {
            ended(found->second.first, found->second.second, end);
            running_.erase(found);
        }
    }
    void on_load_report(admission::load_report const& /*report*/, base::time_point /*now*/) override {}
    void on_incarnation(std::uint64_t /*id*/, base::duration /*uptime*/, base::time_point /*now*/) override {}

protected:
    virtual bool fits(admission_request const& request) const = 0;
    virtual void started(admission_request const& /*request*/) {}
    virtual void ended(admission_request const& /*request*/, std::uint32_t /*tokens*/, admission::stream_end /*end*/) {}
    std::size_t running() const { return running_.size(); }
    policy_setup const& setup() const { return setup_; }

private:
    struct waiting {
        admission_request request;
        base::time_point give_up_at{};
    };

    void start(admission_request const& request) {
        running_.emplace(request.stream, std::pair(request, 0U));
        started(request);
    }

    policy_setup setup_;
    bool unbounded_queue_;
    std::deque<waiting> waiting_;
    std::unordered_map<std::uint64_t, std::pair<admission_request, std::uint32_t>> running_;
};

class fixed_limit_target final : public simple_target {
public:
    fixed_limit_target(policy_setup setup, std::uint32_t limit, bool unbounded_queue)
        : simple_target(std::move(setup), unbounded_queue)
        , limit_(limit) {}

private:
    bool fits(admission_request const& /*request*/) const override { return running() < limit_; }

    std::uint32_t limit_;
};

/// Reserves the prompt and the mean of all lengths seen so far.
class mean_length_target final : public simple_target {
public:
    explicit mean_length_target(policy_setup setup)
        : simple_target(std::move(setup), false) {}

private:
    double mean() const { return count_ > 0 ? sum_ / count_ : 256.0; }
    bool fits(admission_request const& request) const override {
        auto const expected =
            static_cast<double>(prompts_ + request.prompt_tokens) + static_cast<double>(running() + 1) * mean();
        return running() < setup().limits.maximum_running &&
               expected <= static_cast<double>(setup().limits.memory_tokens);
    }
    void started(admission_request const& request) override { prompts_ += request.prompt_tokens; }
    void ended(admission_request const& request, std::uint32_t tokens, admission::stream_end end) override {
        prompts_ -= request.prompt_tokens;
        if (end == admission::stream_end::completed) {
            sum_ += tokens;
            count_ += 1;
        }
    }

    std::uint64_t prompts_{0};
    double sum_{0};
    double count_{0};
};

constexpr std::uint32_t no_limit = 1U << 30U;

} // namespace

policy_choice controller_policy(std::string name, std::optional<admission::mechanism> without) {
    auto const make = [without](policy_setup const& setup) -> std::unique_ptr<target_policy> {
        admission::admission_controller_builder builder;
        builder.limits(setup.limits).classes(setup.classes).maximum_histograms(1000);
        if (without)
            builder.disable_for_ablation(*without);
        return std::make_unique<controller_target>(builder.build(base::time_point{}).value());
    };
    return {.name = std::move(name), .make = make};
}

policy_choice unlimited_policy(std::string name, bool round_robin) {
    return {.name = std::move(name), .round_robin = round_robin, .make = [](policy_setup const& setup) {
                return std::make_unique<fixed_limit_target>(setup, no_limit, false);
            }};
}

policy_choice fixed_limit_policy(std::uint32_t limit, bool unbounded_queue) {
    return {.name = "fixed limit", .make = [limit, unbounded_queue](policy_setup const& setup) {
                return std::make_unique<fixed_limit_target>(setup, limit, unbounded_queue);
            }};
}

policy_choice mean_length_policy() {
    return {.name = "mean length",
            .make = [](policy_setup const& setup) { return std::make_unique<mean_length_target>(setup); }};
}

} // namespace cyclamenledge::policy_bench
