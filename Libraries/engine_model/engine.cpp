#include "engine_model/engine.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenledge::engine_model {

engine::engine(engine_parameters const& parameters, base::time_point now, bool cold)
    : parameters_(parameters)
    , cache_(parameters.cache)
    , machine_(parameters.machine, now)
    , started_at_(now)
    , cold_since_(cold ? now : now - parameters.cold_duration - base::seconds{60})
    , next_report_(now) {}

std::vector<engine::generation>::iterator engine::find(std::uint64_t id) {
    return std::find_if(generations_.begin(), generations_.end(),
                        [id](generation const& each) { return each.request.id == id; });
}

std::vector<engine::generation>::const_iterator engine::find(std::uint64_t id) const {
    return std::find_if(generations_.begin(), generations_.end(),
                        [id](generation const& each) { return each.request.id == id; });
}

bool engine::submit(generation_request const& request, base::time_point now) {
    auto const final_tokens = static_cast<std::uint64_t>(request.prompt_tokens) + request.output_tokens;
    if (!up_ || find(request.id) != generations_.end() || final_tokens > parameters_.memory_tokens)
        return false;
    generation added;
    added.request = request;
    added.request.output_tokens = std::max(1U, request.output_tokens);
    added.order = ++last_order_;
    generations_.push_back(added);
    if (!step_end_)
        start_step(now);
    return true;
}

bool engine::cancel(std::uint64_t id, base::time_point now) {
    auto const found = find(id);
    if (found == generations_.end())
        return false;
    held_tokens_ -= found->held;
    pending_events_.push_back({engine_event_kind::cancelled, id, found->produced, now});
    generations_.erase(found);
    return true;
}

std::vector<engine_event> engine::advance(base::time_point now) {
    while (step_end_ && *step_end_ <= now) {
        auto const ended = *step_end_;
        record_reports(ended);
        std::vector<engine_event> events;
        finish_step(ended, events);
        pending_events_.insert(pending_events_.end(), events.begin(), events.end());
        step_end_.reset();
        if (up_)
            start_step(ended);
    }
    record_reports(now);
    return std::exchange(pending_events_, {});
}

std::vector<live_generation> engine::live() const {
    std::vector<live_generation> result;
    result.reserve(generations_.size());
    for (auto const& each : generations_)
        result.push_back({each.request.id, each.request.prompt_tokens, each.produced});
    return result;
}

std::optional<std::vector<engine_event>> engine::resume(std::uint64_t id, std::uint32_t from_index,
                                                        base::time_point now) const {
    auto const found = find(id);
    if (found == generations_.end() || from_index > found->produced)
        return std::nullopt;
    std::vector<engine_event> events;
    for (auto index = from_index; index < found->produced; ++index)
        events.push_back({engine_event_kind::token, id, index, now});
    return events;
}

void engine::crash(base::time_point now) {
    up_ = false;
    step_end_.reset();
    fail_all_generations(now);
    cache_.clear();
    reports_.clear();
}

void engine::restart(base::time_point now) {
    crash(now);
    up_ = true;
    ++incarnation_;
    started_at_ = now;
    cold_since_ = now;
    next_report_ = now;
}

void engine::stall(base::time_point until) {
    stalled_until_ = std::max(stalled_until_, until);
    if (step_end_)
        step_end_ = std::max(*step_end_, until);
}

std::uint32_t engine::cold_capacity(base::time_point now) const {
    auto const doublings = base::to_seconds(now - cold_since_) / base::to_seconds(parameters_.cold_doubling);
    auto const load = parameters_.cold_initial_capacity * std::exp2(std::min(doublings, 20.0));
    return static_cast<std::uint32_t>(std::min<double>(load, parameters_.maximum_batch));
}

std::uint32_t engine::running() const {
    return static_cast<std::uint32_t>(
        std::count_if(generations_.begin(), generations_.end(), [](generation const& each) { return each.running; }));
}

std::optional<engine_load_report> engine::load_report(base::time_point now) {
    std::optional<engine_load_report> newest;
    while (!reports_.empty() && reports_.front().taken_at + parameters_.report_lag <= now) {
        newest = reports_.front();
        reports_.pop_front();
    }
    return newest;
}

double engine::slowdown(base::time_point now) const {
    auto const remaining = 1.0 - base::to_seconds(now - cold_since_) / base::to_seconds(parameters_.cold_duration);
    return 1.0 + (parameters_.cold_slowdown - 1.0) * std::clamp(remaining, 0.0, 1.0);
}

void engine::schedule(base::time_point now) {
    std::vector<generation*> waiting;
    for (auto& each : generations_) {
        if (!each.running)
            waiting.push_back(&each);
    }
    std::sort(waiting.begin(), waiting.end(), [](generation const* left, generation const* right) {
        return std::pair(right->request.priority, left->order) < std::pair(left->request.priority, right->order);
    });
    auto batch = running();
    for (auto* next : waiting) {
        auto const needed = next->request.prompt_tokens + next->produced;
        if (batch >= parameters_.maximum_batch || held_tokens_ + needed + batch + 1 > parameters_.memory_tokens)
            break;
        next->running = true;
        next->held = needed;
        held_tokens_ += needed;
        ++batch;
        auto const cached =
            next->request.prefix_tokens != 0 && cache_.use(next->request.prefix, next->request.prefix_tokens, now);
        next->remaining_prefill_tokens = needed - (cached ? std::min(needed, next->request.prefix_tokens) : 0);
    }
}

void engine::preempt_to_fit(base::time_point now) {
    // Each running stream may add one token in the next step. Streams are preempted until that fits into the memory.
    while (held_tokens_ + running() > parameters_.memory_tokens) {
        auto victim = generations_.end();
        for (auto each = generations_.begin(); each != generations_.end(); ++each) {
            if (!each->running)
                continue;
            if (victim == generations_.end() ||
                std::pair(each->request.priority, victim->order) < std::pair(victim->request.priority, each->order))
                victim = each;
        }
        if (victim == generations_.end())
            return;
        held_tokens_ -= std::exchange(victim->held, 0);
        victim->running = false;
        pending_events_.push_back({engine_event_kind::preempted, victim->request.id, victim->produced, now});
    }
}

std::uint32_t engine::run_prefill() {
    auto budget = parameters_.prefill_chunk;
    for (auto& each : generations_) {
        if (!each.running || each.remaining_prefill_tokens == 0)
            continue;
        auto const computed = std::min(budget, each.remaining_prefill_tokens);
        each.remaining_prefill_tokens -= computed;
        budget -= computed;
    }
    return parameters_.prefill_chunk - budget;
}

void engine::start_step(base::time_point now) {
    preempt_to_fit(now);
    schedule(now);
    auto const batch = running();
    if (batch == 0)
        return;
    auto const load = cold_capacity(now);
    if (batch > load && now < cold_since_ + parameters_.cold_duration)
        ++overloaded_steps_;
    auto const prefill = run_prefill();
    auto const cost = base::to_seconds(parameters_.step_base) + base::to_seconds(parameters_.step_per_stream) * batch +
                      base::to_seconds(parameters_.step_per_thousand_held) * held_tokens_ / 1000.0 +
                      base::to_seconds(parameters_.prefill_per_token) * prefill;
    step_end_ = std::max(now, stalled_until_) + base::from_seconds(cost * slowdown(now) * machine_.at(now));
}

void engine::finish_step(base::time_point now, std::vector<engine_event>& events) {
    auto const cold = now < cold_since_ + parameters_.cold_duration;
    if (cold && running() > parameters_.cold_failure_factor * cold_capacity(now)) {
        crash(now);
        return;
    }
    for (auto& each : generations_) {
        if (!each.running || each.remaining_prefill_tokens != 0)
            continue;
        events.push_back({engine_event_kind::token, each.request.id, each.produced, now});
        ++each.produced;
        ++each.held;
        ++held_tokens_;
        if (each.produced == each.request.output_tokens) {
            events.push_back({engine_event_kind::completed, each.request.id, each.produced, now});
            held_tokens_ -= each.held;
        }
    }
    std::erase_if(generations_, [](generation const& each) { return each.produced == each.request.output_tokens; });
}

void engine::fail_all_generations(base::time_point now) {
    for (auto const& each : generations_)
        pending_events_.push_back({engine_event_kind::failed, each.request.id, each.produced, now});
    generations_.clear();
    held_tokens_ = 0;
}

void engine::record_reports(base::time_point now) {
    while (up_ && next_report_ <= now) {
        auto const batch = running();
        reports_.push_back({batch, static_cast<std::uint32_t>(generations_.size()) - batch, held_tokens_, incarnation_,
                            next_report_ - started_at_, next_report_});
        next_report_ += parameters_.report_interval;
    }
}

} // namespace cyclamenledge::engine_model
