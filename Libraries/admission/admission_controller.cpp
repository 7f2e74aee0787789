#include "admission/admission_controller.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenledge::admission {

namespace {

using catalogue::class_goal;

/// A report older than this no longer adds to the own count.
constexpr base::duration report_lifetime = base::seconds{5};
/// Tokens without a fault that count as one success of a cold target, since a long stream may take minutes to end.
constexpr std::uint32_t tokens_per_success = 32;
/// A class that met a limit counts as kept out for this long.
constexpr base::duration blocked_span = base::seconds{2};
/// Tokens after which the length is predicted again for the first time.
constexpr std::uint32_t first_prediction = 16;
constexpr base::milliseconds shortest_retry{100};
constexpr base::milliseconds longest_retry{30000};
/// Expected wait while no stream has ended yet.
constexpr base::duration unknown_wait = base::seconds{1};

/// Share of late gaps and headroom per goal. A class that asks for smooth tokens uses a smaller batch.
struct goal_rule {
    double late_share;
    double headroom;
    /// Share of the way from the catalogue's quantile to 1, so that streams that must finish are rarely preempted.
    double quantile_raise;
};
constexpr goal_rule token_gap_rule{0.01, 0.85, 0.0};
constexpr goal_rule completion_rule{0.05, 0.95, 0.5};

goal_rule const& rule_of(class_goal goal) {
    return goal == class_goal::token_gap ? token_gap_rule : completion_rule;
}

} // namespace

admission_controller::admission_controller(target_limits const& limits, length_predictor_parameters const& lengths,
                                           disabled_mechanisms disabled, base::time_point now)
    : limits_(limits)
    , disabled_(disabled)
    , predictor_(lengths)
    , warmup_({.floor = limits.warmup_floor, .maximum = limits.maximum_running})
    , queue_(disabled) {
    warmup_.on_start(now);
}

void admission_controller::apply(std::vector<catalogue::service_class> const& classes) {
    for (auto const& each : classes) {
        auto const key = base::hash_text(each.name);
        auto const bound = bound_parameters(each);
        auto const found = find_class(key);
        auto const index = found.value_or(classes_.size());
        if (!found)
            classes_.emplace_back(key, bound);
        auto& state = classes_[index];
        state.parameters = each;
        state.quantile = reserved_quantile(each);
        state.bound.configure(bound);
        queue_.configure(index, {each.weight, each.priority, each.queue_limit, each.queue_deadline});
    }
}

batch_bound_parameters admission_controller::bound_parameters(catalogue::service_class const& parameters) const {
    auto const& rule = disabled_.off(mechanism::class_goal) ? completion_rule : rule_of(parameters.goal);
    return {.gap_target = parameters.token_gap_target,
            .late_share = rule.late_share,
            .headroom = rule.headroom,
            .start = std::max(8U, limits_.warmup_floor),
            .maximum = limits_.maximum_running};
}

double admission_controller::reserved_quantile(catalogue::service_class const& parameters) const {
    if (disabled_.off(mechanism::length_quantile))
        return 0.5;
    auto const q = parameters.admission_quantile;
    return disabled_.off(mechanism::class_goal) ? q : q + (1.0 - q) * rule_of(parameters.goal).quantile_raise;
}

std::optional<std::size_t> admission_controller::find_class(std::uint64_t key) const {
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        if (classes_[index].key == key)
            return index;
    }
    return std::nullopt;
}

memory_reserve admission_controller::bounded_reserve(std::uint64_t held, std::uint64_t expected,
                                                     std::uint64_t at_quantile,
                                                     admission_request const& request) const {
    // An idle target takes any prompt that fits, so one stream never reserves more than the memory.
    auto most = std::max(limits_.memory_tokens, held);
    if (request.maximum_output_tokens != 0)
        most = std::min(most, std::max(held, std::uint64_t{request.prompt_tokens} + request.maximum_output_tokens));
    auto const middle = std::min(most, held + expected);
    return {middle, std::max(middle, std::min(most, held + at_quantile)) - middle};
}

memory_reserve admission_controller::reservation(admission_request const& request, class_state const& of_class) {
    if (disabled_.off(mechanism::length_reservation))
        return bounded_reserve(request.prompt_tokens, 1, 1, request);
    auto const at = [&](double q) { return predictor_.quantile(request.organisation, of_class.key, request.model, q); };
    return bounded_reserve(request.prompt_tokens, at(0.5), at(of_class.quantile), request);
}

std::uint64_t admission_controller::reserved_with(memory_reserve const& added) const {
    auto sum = reserved_;
    sum.add(added);
    return sum.tokens(disabled_.on(mechanism::pooled_spread));
}

std::uint64_t admission_controller::unexplained_tokens(base::time_point now) const {
    return now < report_expires_ ? unexplained_tokens_ : 0;
}

std::uint32_t admission_controller::effective_running(base::time_point now) const {
    if (disabled_.off(mechanism::own_count) && report_)
        return report_->running;
    return running() + (now < report_expires_ ? unexplained_running_ : 0);
}

std::uint32_t admission_controller::smallest_batch_bound(std::size_t service_class) const {
    auto bound = std::min(limits_.maximum_running, classes_[service_class].bound.bound());
    for (auto const& each : classes_) {
        if (each.running > 0)
            bound = std::min(bound, each.bound.bound());
    }
    return bound;
}

double admission_controller::weight_share(std::size_t service_class, base::time_point now) const {
    double weights = 0;
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        auto const& each = classes_[index];
        if (index == service_class || each.running > 0 || each.blocked_until > now)
            weights += each.parameters.weight;
    }
    return classes_[service_class].parameters.weight / weights;
}

bool admission_controller::below_share(std::size_t service_class, admission_limit limit, memory_reserve const& added,
                                       base::time_point now) const {
    auto const& state = classes_[service_class];
    auto const share = weight_share(service_class, now);
    if (limit == admission_limit::memory)
        return static_cast<double>(state.reserved.expected() + added.expected) <=
               share * static_cast<double>(limits_.memory_tokens);
    auto const bound = std::min(smallest_batch_bound(service_class), warmup_.bound());
    return state.running + 1 <= share * bound;
}

bool admission_controller::kept_for_others(std::size_t service_class, memory_reserve const& needed,
                                           base::time_point now) const {
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        auto const& each = classes_[index];
        if (index != service_class && each.blocked_until > now && below_share(index, each.blocked_by, {}, now) &&
            !below_share(service_class, each.blocked_by, needed, now))
            return true;
    }
    return false;
}

void admission_controller::record_blocked(std::size_t service_class, admission_limit limit, base::time_point now) {
    if (limit == admission_limit::none || limit == admission_limit::share)
        return;
    classes_[service_class].blocked_by = limit;
    classes_[service_class].blocked_until = now + blocked_span;
}

admission_limit admission_controller::limit_reached(std::size_t service_class, memory_reserve const& needed,
                                                    base::time_point now) const {
    auto const batch = effective_running(now);
    if (disabled_.on(mechanism::warmup) && batch >= warmup_.bound())
        return admission_limit::warmup;
    if (disabled_.on(mechanism::batch_bound) && batch >= smallest_batch_bound(service_class))
        return admission_limit::batch;
    if (batch >= limits_.maximum_running)
        return admission_limit::batch;
    auto wanted = reserved_with(needed) + unexplained_tokens(now);
    if (disabled_.off(mechanism::own_count) && report_)
        wanted = report_->held_tokens + needed.expected + needed.spread;
    if (wanted > limits_.memory_tokens)
        return admission_limit::memory;
    if (disabled_.on(mechanism::share_guard) && kept_for_others(service_class, needed, now))
        return admission_limit::share;
    return admission_limit::none;
}

void admission_controller::start(admission_request const& request, std::size_t service_class,
                                 memory_reserve const& reserved, base::time_point now) {
    stream_state stream;
    stream.request = request;
    stream.service_class = service_class;
    stream.reserved = reserved;
    stream.predict_again_at = first_prediction;
    stream.next_success_at = tokens_per_success;
    stream.last_token = now;
    if (!streams_.emplace(request.stream, stream).second)
        return;
    auto& of_class = classes_[service_class];
    ++of_class.running;
    ++of_class.admitted;
    of_class.reserved.add(reserved);
    reserved_.add(reserved);
    held_ += request.prompt_tokens;
    record_counts(now);
}

admission_decision admission_controller::refuse(std::uint64_t stream, base::error_kind error,
                                                base::duration wait) const {
    auto const after = std::chrono::duration_cast<base::milliseconds>(wait);
    return {.stream = stream,
            .outcome = admission_outcome::refuse,
            .error = error,
            .retry_after = std::clamp(after, shortest_retry, longest_retry)};
}

admission_decision admission_controller::offer(admission_request const& request, base::time_point now) {
    auto const found = find_class(request.service_class);
    // The catalogue revision that names the class may not have reached this agent yet.
    if (!found)
        return refuse(request.stream, base::error_kind::out_of_service, unknown_wait);
    auto& of_class = classes_[*found];
    if (request.prompt_tokens >= limits_.memory_tokens)
        return refuse(request.stream, base::error_kind::payload_too_large, {});
    // The first request of this id may be running, so the answer does not state "not run".
    if (streams_.contains(request.stream))
        return refuse(request.stream, base::error_kind::internal, {});

    auto const needed = reservation(request, of_class);
    auto const limit = limit_reached(*found, needed, now);
    if (limit == admission_limit::none && queue_.total() == 0) {
        start(request, *found, needed, now);
        return {.stream = request.stream, .priority = of_class.parameters.priority};
    }
    record_blocked(*found, limit, now);
    auto const give_up_at = std::min(request.deadline, now + queue_.parameters(*found).deadline);
    auto const wait = expected_wait(*found, queue_.size(*found), needed, now);
    auto const hopeless = disabled_.on(mechanism::early_refusal) && wait > give_up_at - now;
    if (hopeless || give_up_at <= now || !queue_.push(*found, {request, needed, now, give_up_at})) {
        ++of_class.refused;
        auto refusal = refuse(request.stream, base::error_kind::overloaded, wait);
        refusal.limit = limit;
        return refusal;
    }
    return {.stream = request.stream, .outcome = admission_outcome::queue, .limit = limit};
}

void admission_controller::adopt(admission_request const& request, std::uint32_t produced, base::time_point now) {
    auto const found = find_class(request.service_class);
    if (classes_.empty())
        return;
    auto const service_class = found.value_or(0);
    start(request, service_class, reservation(request, classes_[service_class]), now);
    on_token(request.stream, produced, now);
}

base::duration admission_controller::expected_wait(std::size_t service_class, std::size_t ahead,
                                                   memory_reserve const& needed, base::time_point now) {
    // A class below its share is next in line for what becomes free.
    auto const next_in_line = disabled_.on(mechanism::share_guard) && classes_[service_class].blocked_until > now &&
                              below_share(service_class, classes_[service_class].blocked_by, needed, now);
    auto const rate = ends_.per_second(now) * (next_in_line ? 1.0 : queue_.share(service_class));
    if (rate <= 0)
        return unknown_wait;
    auto const batch = static_cast<double>(effective_running(now));
    auto const bound = std::min<double>(smallest_batch_bound(service_class), warmup_.bound());
    auto ends_needed = std::max(1.0, batch - bound + 1.0);
    auto const wanted = reserved_with(needed);
    if (!streams_.empty() && wanted > limits_.memory_tokens) {
        auto const mean = static_cast<double>(reserved_tokens()) / static_cast<double>(streams_.size());
        ends_needed = std::max(ends_needed, static_cast<double>(wanted - limits_.memory_tokens) / mean);
    }
    return base::from_seconds((ends_needed + static_cast<double>(ahead)) / rate);
}

void admission_controller::predict_again(stream_state& stream) {
    auto& of_class = classes_[stream.service_class];
    auto const so_far = stream.produced;
    auto const predicts = disabled_.on(mechanism::conditional_tail) && disabled_.on(mechanism::length_reservation);
    auto const left_at = [&](double q) {
        auto const& request = stream.request;
        return predicts ? predictor_.remaining(request.organisation, of_class.key, request.model, so_far, q) : 1U;
    };
    auto const left = left_at(0.5);
    auto const held = std::uint64_t{stream.request.prompt_tokens} + so_far;
    auto const renewed = bounded_reserve(held, left, left_at(of_class.quantile), stream.request);
    of_class.reserved.remove(stream.reserved);
    reserved_.remove(stream.reserved);
    of_class.reserved.add(renewed);
    reserved_.add(renewed);
    stream.reserved = renewed;
    // A prediction is renewed when the stream has grown by half or outlives it, which bounds the cost per token.
    auto const grown = so_far + std::max(8U, so_far / 2);
    stream.predict_again_at = std::max(so_far + 1, std::min(grown, so_far + left));
}

void admission_controller::on_token(std::uint64_t stream, std::uint32_t count, base::time_point now) {
    auto const found = streams_.find(stream);
    if (found == streams_.end() || count == 0)
        return;
    auto& state = found->second;
    if (state.produced > 0) {
        auto const gap = (now - state.last_token) / count;
        auto const batch = running();
        for (auto& each : classes_)
            each.bound.on_gap(gap, batch, now);
        warmup_.on_gap(gap, batch, now);
    }
    state.last_token = now;
    state.produced += count;
    held_ += count;
    if (state.produced >= state.next_success_at) {
        state.next_success_at = state.produced + tokens_per_success;
        warmup_.on_success(now);
    }
    if (state.produced >= state.predict_again_at)
        predict_again(state);
    record_counts(now);
}

void admission_controller::on_end(std::uint64_t stream, stream_end end, base::time_point now) {
    auto const found = streams_.find(stream);
    if (found == streams_.end()) {
        queue_.remove(stream);
        return;
    }
    auto const& state = found->second;
    auto& of_class = classes_[state.service_class];
    // A cancelled or failed stream says only that the length was above its tokens so far, so it is not learned from.
    if (end == stream_end::completed) {
        predictor_.observe(state.request.organisation, of_class.key, state.request.model, state.produced);
        warmup_.on_success(now);
    }
    --of_class.running;
    of_class.reserved.remove(state.reserved);
    reserved_.remove(state.reserved);
    held_ -= state.request.prompt_tokens + state.produced;
    streams_.erase(found);
    ends_.on_event(now);
    record_counts(now);
}

void admission_controller::record_counts(base::time_point now) {
    recent_held_.record(held_, now);
    recent_running_.record(running(), now);
}

void admission_controller::on_load_report(load_report const& report, base::time_point now) {
    report_ = report;
    // A report lags, so it is compared with the largest own count of the recent past.
    auto const held = recent_held_.value(held_, now);
    auto const batch = static_cast<std::uint32_t>(recent_running_.value(running(), now));
    unexplained_tokens_ = report.held_tokens > held ? report.held_tokens - held : 0;
    unexplained_running_ = report.running > batch ? report.running - batch : 0;
    report_expires_ = now + report_lifetime;
}

void admission_controller::on_incarnation(std::uint64_t id, base::duration uptime, base::time_point now) {
    incarnation_ = id;
    if (!warmup_.on_incarnation(id, uptime, now))
        return;
    std::vector<std::uint64_t> lost;
    for (auto const& [stream, state] : streams_)
        lost.push_back(stream);
    for (auto const stream : lost)
        on_end(stream, stream_end::failed, now);
    report_.reset();
    report_expires_ = {};
}

void admission_controller::refuse_hopeless(base::time_point now, std::vector<admission_decision>& decisions) {
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        auto& line = queue_.line(index);
        std::size_t kept = 0;
        for (std::size_t position = 0; position < line.size(); ++position) {
            auto const& each = line[position];
            auto const expired = each.give_up_at <= now && disabled_.on(mechanism::queue_bound);
            auto const wait = expected_wait(index, kept, each.needed, now);
            if (expired || (disabled_.on(mechanism::early_refusal) && wait > each.give_up_at - now)) {
                ++classes_[index].refused;
                decisions.push_back(refuse(each.request.stream,
                                           expired ? base::error_kind::queue_timeout : base::error_kind::overloaded,
                                           wait));
            } else {
                if (kept != position)
                    line[kept] = each;
                ++kept;
            }
        }
        line.resize(kept);
    }
}

std::vector<admission_decision> admission_controller::poll(base::time_point now) {
    std::vector<admission_decision> decisions;
    while (auto const next = queue_.next_class(now)) {
        auto const& waiting = queue_.first(*next);
        if (waiting.give_up_at <= now && disabled_.on(mechanism::queue_bound)) {
            ++classes_[*next].refused;
            decisions.push_back(refuse(waiting.request.stream, base::error_kind::queue_timeout,
                                       expected_wait(*next, 0, waiting.needed, now)));
            queue_.line(*next).pop_front();
            continue;
        }
        auto const request = waiting.request;
        auto const needed = reservation(request, classes_[*next]);
        auto const limit = limit_reached(*next, needed, now);
        record_blocked(*next, limit, now);
        if (limit != admission_limit::none)
            break;
        queue_.pop(*next);
        start(request, *next, needed, now);
        decisions.push_back({.stream = request.stream, .priority = classes_[*next].parameters.priority});
    }
    refuse_hopeless(now, decisions);
    return decisions;
}

load_hint admission_controller::hint() const {
    return {.running = running(),
            .queued = static_cast<std::uint32_t>(queue_.total()),
            .held_fraction = static_cast<float>(reserved_tokens()) / static_cast<float>(limits_.memory_tokens),
            .warmup_bound = warmup_.bound(),
            .incarnation = incarnation_,
            .warm = warmup_.warm()};
}

admission_snapshot admission_controller::snapshot(base::time_point now) {
    admission_snapshot state{.hint = hint(),
                             .held_tokens = held_,
                             .reserved_tokens = reserved_tokens(),
                             .memory_tokens = limits_.memory_tokens,
                             .unexplained_tokens = unexplained_tokens(now),
                             .unexplained_running = now < report_expires_ ? unexplained_running_ : 0,
                             .ends_per_second = ends_.per_second(now),
                             .histograms = predictor_.histograms(),
                             .classes = {}};
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        auto const& each = classes_[index];
        state.classes.push_back({each.parameters.name, each.running, static_cast<std::uint32_t>(queue_.size(index)),
                                 each.bound.bound(), each.reserved.expected(), each.admitted, each.refused});
    }
    return state;
}

} // namespace cyclamenledge::admission
