#include "simulation.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <optional>
#include <utility>

namespace cyclamenledge::policy_bench {

namespace {

using admission::admission_outcome;
using engine_model::engine_event_kind;

constexpr base::duration restart_time = base::seconds{5};
constexpr base::duration report_poll_interval = base::milliseconds{500};
/// A gap beyond this multiple of the target is a stall.
constexpr double stall_factor = 4.0;

struct request_record {
    arrival const* source{nullptr};
    std::size_t target{0};
    std::uint32_t attempts{0};
    std::uint32_t tokens{0};
    std::uint32_t late_gaps{0};
    base::time_point first_token{};
    base::time_point last_token{};
    bool done{false};
};

struct target_state {
    engine_model::engine engine;
    std::unique_ptr<target_policy> policy;
    std::uint32_t outstanding{0};
    std::optional<base::time_point> restart_at;
};

double percentile(std::vector<float>& values, double q) {
    if (values.empty())
        return 0;
    auto const index = std::min(values.size() - 1, static_cast<std::size_t>(q * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

class simulation {
public:
    simulation(simulation_parameters const& parameters, user_shape const& user, policy_choice const& policy,
               std::vector<arrival> const& arrivals)
        : parameters_(parameters)
        , user_(user)
        , policy_(policy)
        , arrivals_(arrivals)
        , records_(arrivals.size()) {
        policy_setup setup{parameters.limits, {}};
        for (auto const& each : user.classes) {
            setup.classes.push_back(each.parameters);
            class_keys_.push_back(base::hash_text(each.parameters.name));
            result_.classes.push_back({.name = each.parameters.name});
        }
        for (std::uint32_t index = 0; index < parameters.targets; ++index) {
            targets_.push_back({engine_model::engine(parameters.engine, base::time_point{}, false), policy.make(setup),
                                0, std::nullopt});
            targets_.back().policy->on_incarnation(1, {}, base::time_point{});
            for (auto const& each : parameters.history)
                targets_.back().policy->learn(each.organisation, class_keys_[each.service_class], each.output_tokens);
        }
    }

    run_result run() {
        auto const end = base::time_point{base::from_seconds(parameters_.seconds + parameters_.drain_seconds)};
        while (auto const next = next_time()) {
            if (*next > end || (next_arrival_ == arrivals_.size() && open_ == 0))
                break;
            now_ = *next;
            inject_faults();
            for (auto& each : targets_)
                advance(each);
            poll_reports();
            while (next_arrival_ < arrivals_.size() && arrivals_[next_arrival_].at <= now_)
                arrive(next_arrival_++);
            for (std::size_t index = 0; index < targets_.size(); ++index)
                poll(index);
        }
        summarise();
        return std::move(result_);
    }

private:
    std::optional<base::time_point> next_time() const {
        auto earliest = next_report_;
        if (next_arrival_ < arrivals_.size())
            earliest = std::min(earliest, arrivals_[next_arrival_].at);
        for (auto const& each : targets_) {
            if (each.engine.up())
                earliest = std::min(earliest, each.policy->next_poll());
            if (auto const step = each.engine.next_step_end())
                earliest = std::min(earliest, *step);
            if (each.restart_at)
                earliest = std::min(earliest, *each.restart_at);
        }
        return std::max(earliest, now_);
    }

    void inject_faults() {
        if (!parameters_.faults)
            return;
        auto const at = [this](double part) {
            return base::time_point{base::from_seconds(parameters_.seconds * part)};
        };
        if (faults_done_ == 0 && now_ >= at(0.2)) {
            targets_[0].engine.restart(now_);
            targets_[0].policy->on_incarnation(targets_[0].engine.incarnation(), {}, now_);
            ++faults_done_;
        }
        if (faults_done_ == 1 && now_ >= at(0.5)) {
            targets_[1].engine.crash(now_);
            ++faults_done_;
        }
    }

    void advance(target_state& target) {
        if (target.restart_at && *target.restart_at <= now_) {
            target.engine.restart(now_);
            target.restart_at.reset();
            target.policy->on_incarnation(target.engine.incarnation(), {}, now_);
        }
        if (auto const step = target.engine.next_step_end(); step && *step <= now_) {
            batch_sum_ += target.engine.running();
            ++steps_;
        }
        for (auto const& event : target.engine.advance(now_))
            handle(target, event);
        if (!target.engine.up() && !target.restart_at) {
            target.restart_at = now_ + restart_time;
            ++result_.engine_failures;
        }
    }

    void handle(target_state& target, engine_model::engine_event const& event) {
        auto& record = records_[event.id];
        switch (event.kind) {
        case engine_event_kind::token:
            on_token(record, event.at);
            target.policy->on_token(event.id, event.at);
            return;
        case engine_event_kind::preempted:
            ++result_.preemptions;
            return;
        case engine_event_kind::completed:
            complete(record);
            target.policy->on_end(event.id, admission::stream_end::completed, event.at);
            break;
        case engine_event_kind::cancelled:
        case engine_event_kind::failed:
            ++result_.failed;
            target.policy->on_end(event.id, admission::stream_end::failed, event.at);
            break;
        }
        close(target, record);
    }

    void close(target_state& target, request_record& record) {
        record.done = true;
        --target.outstanding;
        --open_;
    }

    void on_token(request_record& record, base::time_point at) {
        auto const& of_class = user_.classes[record.source->service_class].parameters;
        if (record.tokens == 0) {
            record.first_token = at;
            first_tokens_.push_back(static_cast<float>(base::to_seconds(at - record.source->at) * 1000));
        } else {
            auto const gap = at - record.last_token;
            auto const stall_from = of_class.token_gap_target * stall_factor;
            gaps_.push_back(static_cast<float>(base::to_seconds(gap) * 1000));
            record.late_gaps += gap > of_class.token_gap_target ? 1 : 0;
            if (gap > stall_from)
                result_.stall_seconds += base::to_seconds(gap - of_class.token_gap_target);
        }
        record.last_token = at;
        ++record.tokens;
        ++all_tokens_;
    }

    void complete(request_record const& record) {
        auto const& of_class = user_.classes[record.source->service_class].parameters;
        auto& counts = result_.classes[record.source->service_class];
        ++counts.completed;
        auto const first_in_time = record.first_token - record.source->at <= of_class.first_token_target;
        // 95 in 100 gaps must meet the target.
        if (first_in_time && record.late_gaps * 20 <= record.tokens - 1) {
            ++counts.good;
            good_tokens_ += record.tokens;
        }
    }

    void arrive(std::size_t index) {
        ++result_.offered;
        ++open_;
        records_[index].source = &arrivals_[index];
        ++result_.classes[arrivals_[index].service_class].offered;
        offer(index, choose(std::nullopt));
    }

    std::optional<std::size_t> choose(std::optional<std::size_t> except) {
        if (policy_.round_robin)
            return next_robin();
        std::optional<std::size_t> best;
        for (std::size_t index = 0; index < targets_.size(); ++index) {
            if (index == except || !targets_[index].engine.up())
                continue;
            if (!best || targets_[index].outstanding < targets_[*best].outstanding)
                best = index;
        }
        return best;
    }

    std::optional<std::size_t> next_robin() {
        for (std::size_t tried = 0; tried < targets_.size(); ++tried) {
            robin_ = (robin_ + 1) % targets_.size();
            if (targets_[robin_].engine.up())
                return robin_;
        }
        return std::nullopt;
    }

    void offer(std::size_t index, std::optional<std::size_t> target) {
        if (!target) {
            ++result_.refused;
            --open_;
            return;
        }
        auto& record = records_[index];
        record.target = *target;
        ++record.attempts;
        ++targets_[*target].outstanding;
        apply(index, targets_[*target].policy->offer(request_of(index), now_));
    }

    admission::admission_request request_of(std::size_t index) const {
        auto const& source = arrivals_[index];
        return {.stream = index,
                .organisation = source.organisation,
                .service_class = class_keys_[source.service_class],
                .model = only_model,
                .prompt_tokens = source.prompt_tokens,
                .maximum_output_tokens = 0};
    }

    void apply(std::size_t index, admission::admission_decision const& decision) {
        auto& record = records_[index];
        auto& target = targets_[record.target];
        if (decision.outcome == admission_outcome::queue)
            return;
        if (decision.outcome == admission_outcome::refuse) {
            --target.outstanding;
            // The time in the first queue counts towards the first token, so only refusals at once are offered again.
            auto const at_once = now_ == record.source->at;
            offer(index, record.attempts < policy_.attempts && at_once ? choose(record.target) : std::nullopt);
            return;
        }
        auto const& source = *record.source;
        if (!target.engine.submit({.id = index,
                                   .prompt_tokens = source.prompt_tokens,
                                   .output_tokens = source.output_tokens,
                                   .priority = decision.priority,
                                   .prefix = source.service_class + 1,
                                   .prefix_tokens = source.prefix_tokens},
                                  now_)) {
            ++result_.failed;
            target.policy->on_end(index, admission::stream_end::failed, now_);
            close(target, record);
        }
    }

    void poll(std::size_t index) {
        auto& target = targets_[index];
        // Queued requests of an engine that is down wait for it or time out.
        if (!target.engine.up())
            return;
        for (auto const& decision : target.policy->poll(now_))
            apply(decision.stream, decision);
    }

    void poll_reports() {
        if (now_ < next_report_)
            return;
        next_report_ = now_ + report_poll_interval;
        for (auto& each : targets_) {
            auto const report = each.engine.load_report(now_);
            if (report && report->incarnation == each.engine.incarnation())
                each.policy->on_load_report({report->running, report->held_tokens}, now_);
        }
    }

    void summarise() {
        for (auto const& each : targets_)
            result_.cold_overload_steps += each.engine.overloaded_steps();
        result_.user = user_.name;
        result_.policy = policy_.name;
        result_.failed += open_;
        result_.good_tokens_per_second = static_cast<double>(good_tokens_) / parameters_.seconds;
        for (auto const& each : result_.classes)
            result_.good_requests_per_second += static_cast<double>(each.good) / parameters_.seconds;
        result_.tokens_per_second = static_cast<double>(all_tokens_) / base::to_seconds(now_.time_since_epoch());
        result_.gap_p95 = percentile(gaps_, 0.95);
        result_.gap_p99 = percentile(gaps_, 0.99);
        result_.first_token_p95 = percentile(first_tokens_, 0.95);
        result_.mean_batch = steps_ == 0 ? 0 : static_cast<double>(batch_sum_) / static_cast<double>(steps_);
    }

    simulation_parameters parameters_;
    user_shape const& user_;
    policy_choice const& policy_;
    std::vector<arrival> const& arrivals_;
    std::vector<request_record> records_;
    std::vector<std::uint64_t> class_keys_;
    std::vector<target_state> targets_;
    run_result result_;
    std::vector<float> gaps_;
    std::vector<float> first_tokens_;
    base::time_point now_{};
    base::time_point next_report_{};
    std::size_t next_arrival_{0};
    std::size_t robin_{0};
    std::uint64_t open_{0};
    std::uint64_t good_tokens_{0};
    std::uint64_t all_tokens_{0};
    std::uint64_t batch_sum_{0};
    std::uint64_t steps_{0};
    std::uint32_t faults_done_{0};
};

} // namespace

run_result simulate(simulation_parameters const& parameters, user_shape const& user, policy_choice const& policy,
                    std::vector<arrival> const& arrivals) {
    return simulation(parameters, user, policy, arrivals).run();
}

} // namespace cyclamenledge::policy_bench
