#include "admission/admission_controller.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenledge::admission {

namespace {

using catalogue::class_goal;

/// An engine's load report older than this no longer adds to the agent's own counts.
constexpr base::duration load_report_lifetime = base::seconds{5};
/// Tokens received without a failure that count as one success of the warm-up, because a long stream may take minutes
/// to end.
constexpr std::uint32_t tokens_per_success = 32;
/// Time for which a class counts as blocked after one of its requests reached a limit.
constexpr base::duration blocked_duration = base::seconds{2};
/// Number of output tokens at which a stream's remaining length is predicted again for the first time.
constexpr std::uint32_t first_prediction_tokens = 16;
constexpr base::milliseconds minimum_retry_after{100};
constexpr base::milliseconds maximum_retry_after{30000};
/// Wait assumed while no stream has ended yet, so that no rate of endings is known.
constexpr base::duration default_expected_wait = base::seconds{1};

/// Parameters of the batch bound and the reservation per goal of a class. The token gap goal permits fewer late gaps
/// and less headroom than the completion goal, which results in smaller batches.
struct goal_rule {
    double late_share;
    double headroom;
    /// Fraction by which the distance from the catalogue's quantile to 1 is reduced. A higher quantile reserves more
    /// memory, so that streams of the completion goal are rarely preempted.
    double quantile_raise;
};
constexpr goal_rule token_gap_rule{0.01, 0.85, 0.0};
constexpr goal_rule completion_rule{0.05, 0.95, 0.5};

goal_rule const& rule_for(class_goal goal) {
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
    warmup_.reset(now);
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
    auto const& rule = disabled_.is_disabled(mechanism::class_goal) ? completion_rule : rule_for(parameters.goal);
    return {.gap_target = parameters.token_gap_target,
            .late_share = rule.late_share,
            .headroom = rule.headroom,
            .initial = std::max(8U, limits_.warmup_floor),
            .maximum = limits_.maximum_running};
}

double admission_controller::reserved_quantile(catalogue::service_class const& parameters) const {
    if (disabled_.is_disabled(mechanism::length_quantile))
        return 0.5;
    auto const q = parameters.admission_quantile;
    return disabled_.is_disabled(mechanism::class_goal) ? q : q + (1.0 - q) * rule_for(parameters.goal).quantile_raise;
}

std::optional<std::size_t> admission_controller::find_class(std::uint64_t key) const {
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        if (classes_[index].key == key)
            return index;
    }
    return std::nullopt;
}

memory_reservation admission_controller::bounded_reservation(std::uint64_t held, std::uint64_t expected,
                                                             std::uint64_t at_quantile,
                                                             admission_request const& request) const {
    // The reservation of one stream is capped at the target's memory, so that an idle target admits any prompt that
    // fits.
    auto maximum = std::max(limits_.memory_tokens, held);
    if (request.maximum_output_tokens != 0)
        maximum =
            std::min(maximum, std::max(held, std::uint64_t{request.prompt_tokens} + request.maximum_output_tokens));
    auto const median = std::min(maximum, held + expected);
    return {median, std::max(median, std::min(maximum, held + at_quantile)) - median};
}

memory_reservation admission_controller::predicted_reservation(admission_request const& request,
                                                               class_state const& of_class) {
    if (disabled_.is_disabled(mechanism::length_reservation))
        return bounded_reservation(request.prompt_tokens, 1, 1, request);
    auto const at = [&](double q) { return predictor_.quantile(request.organisation, of_class.key, request.model, q); };
    return bounded_reservation(request.prompt_tokens, at(0.5), at(of_class.quantile), request);
}

std::uint64_t admission_controller::reserved_with(memory_reservation const& added) const {
    auto sum = reserved_;
    sum.add(added);
    return sum.tokens(disabled_.is_enabled(mechanism::pooled_spread));
}

std::uint64_t admission_controller::unexplained_tokens(base::time_point now) const {
    return now < report_expires_ ? unexplained_tokens_ : 0;
}

std::uint32_t admission_controller::effective_running(base::time_point now) const {
    if (disabled_.is_disabled(mechanism::own_count) && report_)
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

bool admission_controller::within_share(std::size_t service_class, admission_limit limit,
                                        memory_reservation const& added, base::time_point now) const {
    auto const& state = classes_[service_class];
    auto const share = weight_share(service_class, now);
    if (limit == admission_limit::memory)
        return static_cast<double>(state.reserved.expected() + added.expected) <=
               share * static_cast<double>(limits_.memory_tokens);
    auto const bound = std::min(smallest_batch_bound(service_class), warmup_.bound());
    return state.running + 1 <= share * bound;
}

bool admission_controller::must_leave_room_for_others(std::size_t service_class, memory_reservation const& needed,
                                                      base::time_point now) const {
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        auto const& each = classes_[index];
        if (index != service_class && each.blocked_until > now && within_share(index, each.blocked_by, {}, now) &&
            !within_share(service_class, each.blocked_by, needed, now))
            return true;
    }
    return false;
}

void admission_controller::record_blocked(std::size_t service_class, admission_limit limit, base::time_point now) {
    if (limit == admission_limit::none || limit == admission_limit::share)
        return;
    classes_[service_class].blocked_by = limit;
    classes_[service_class].blocked_until = now + blocked_duration;
}

admission_limit admission_controller::limit_reached(std::size_t service_class, memory_reservation const& needed,
                                                    base::time_point now) const {
    auto const batch = effective_running(now);
    if (disabled_.is_enabled(mechanism::warmup) && batch >= warmup_.bound())
        return admission_limit::warmup;
    if (disabled_.is_enabled(mechanism::batch_bound) && batch >= smallest_batch_bound(service_class))
        return admission_limit::batch;
    if (batch >= limits_.maximum_running)
        return admission_limit::batch;
    auto required_tokens = reserved_with(needed) + unexplained_tokens(now);
    if (disabled_.is_disabled(mechanism::own_count) && report_)
        required_tokens = report_->held_tokens + needed.expected + needed.spread;
    if (required_tokens > limits_.memory_tokens)
        return admission_limit::memory;
    if (disabled_.is_enabled(mechanism::share_guard) && must_leave_room_for_others(service_class, needed, now))
        return admission_limit::share;
    return admission_limit::none;
}

void admission_controller::start_stream(admission_request const& request, std::size_t service_class,
                                        memory_reservation const& reserved, base::time_point now) {
    stream_state stream;
    stream.request = request;
    stream.service_class = service_class;
    stream.reserved = reserved;
    stream.next_prediction_at = first_prediction_tokens;
    stream.next_success_at = tokens_per_success;
    stream.last_token = now;
    if (!streams_.emplace(request.stream, stream).second)
        return;
    auto& of_class = classes_[service_class];
    ++of_class.running;
    ++of_class.admitted;
    of_class.reserved.add(reserved);
    reserved_.add(reserved);
    held_tokens_ += request.prompt_tokens;
    record_recent_counts(now);
}

admission_decision admission_controller::make_refusal(std::uint64_t stream, base::error_kind error,
                                                      base::duration wait) const {
    auto const after = std::chrono::duration_cast<base::milliseconds>(wait);
    return {.stream = stream,
            .outcome = admission_outcome::refuse,
            .error = error,
            .retry_after = std::clamp(after, minimum_retry_after, maximum_retry_after)};
}

admission_decision admission_controller::offer(admission_request const& request, base::time_point now) {
    auto const found = find_class(request.service_class);
    // The entry may use a newer catalogue revision, which names a class that this agent has not received yet.
    if (!found)
        return make_refusal(request.stream, base::error_kind::out_of_service, default_expected_wait);
    auto& of_class = classes_[*found];
    if (request.prompt_tokens >= limits_.memory_tokens)
        return make_refusal(request.stream, base::error_kind::payload_too_large, {});
    // An earlier request with this id is running, so the refusal must not state "not run".
    if (streams_.contains(request.stream))
        return make_refusal(request.stream, base::error_kind::internal, {});

    auto const needed = predicted_reservation(request, of_class);
    auto const limit = limit_reached(*found, needed, now);
    if (limit == admission_limit::none && queue_.total() == 0) {
        start_stream(request, *found, needed, now);
        return {.stream = request.stream, .priority = of_class.parameters.priority};
    }
    record_blocked(*found, limit, now);
    auto const expires_at = std::min(request.deadline, now + queue_.parameters(*found).deadline);
    auto const wait = expected_wait(*found, queue_.size(*found), needed, now);
    auto const misses_deadline = disabled_.is_enabled(mechanism::early_refusal) && wait > expires_at - now;
    if (misses_deadline || expires_at <= now || !queue_.push(*found, {request, needed, now, expires_at})) {
        ++of_class.refused;
        auto refusal = make_refusal(request.stream, base::error_kind::overloaded, wait);
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
    start_stream(request, service_class, predicted_reservation(request, classes_[service_class]), now);
    on_token(request.stream, produced, now);
}

base::duration admission_controller::expected_wait(std::size_t service_class, std::size_t ahead,
                                                   memory_reservation const& needed, base::time_point now) {
    // The share guard gives the next released capacity to a blocked class that is below its share.
    auto const served_next = disabled_.is_enabled(mechanism::share_guard) &&
                             classes_[service_class].blocked_until > now &&
                             within_share(service_class, classes_[service_class].blocked_by, needed, now);
    auto const rate = stream_end_rate_.per_second(now) * (served_next ? 1.0 : queue_.share(service_class));
    if (rate <= 0)
        return default_expected_wait;
    auto const batch = static_cast<double>(effective_running(now));
    auto const bound = std::min<double>(smallest_batch_bound(service_class), warmup_.bound());
    auto ends_needed = std::max(1.0, batch - bound + 1.0);
    auto const required_tokens = reserved_with(needed);
    if (!streams_.empty() && required_tokens > limits_.memory_tokens) {
        auto const mean_tokens = static_cast<double>(reserved_tokens()) / static_cast<double>(streams_.size());
        ends_needed = std::max(ends_needed, static_cast<double>(required_tokens - limits_.memory_tokens) / mean_tokens);
    }
    return base::from_seconds((ends_needed + static_cast<double>(ahead)) / rate);
}

void admission_controller::renew_prediction(stream_state& stream) {
    auto& of_class = classes_[stream.service_class];
    auto const so_far = stream.produced;
    auto const predicts =
        disabled_.is_enabled(mechanism::conditional_tail) && disabled_.is_enabled(mechanism::length_reservation);
    auto const remaining_at = [&](double q) {
        auto const& request = stream.request;
        return predicts ? predictor_.remaining(request.organisation, of_class.key, request.model, so_far, q) : 1U;
    };
    auto const remaining = remaining_at(0.5);
    auto const held = std::uint64_t{stream.request.prompt_tokens} + so_far;
    auto const updated = bounded_reservation(held, remaining, remaining_at(of_class.quantile), stream.request);
    of_class.reserved.remove(stream.reserved);
    reserved_.remove(stream.reserved);
    of_class.reserved.add(updated);
    reserved_.add(updated);
    stream.reserved = updated;
    // The next prediction is made when the stream has grown by half or exceeds the median prediction. The geometric
    // steps bound the cost per token.
    auto const length_after_growth = so_far + std::max(8U, so_far / 2);
    stream.next_prediction_at = std::max(so_far + 1, std::min(length_after_growth, so_far + remaining));
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
    held_tokens_ += count;
    if (state.produced >= state.next_success_at) {
        state.next_success_at = state.produced + tokens_per_success;
        warmup_.on_success(now);
    }
    if (state.produced >= state.next_prediction_at)
        renew_prediction(state);
    record_recent_counts(now);
}

void admission_controller::on_end(std::uint64_t stream, stream_end end, base::time_point now) {
    auto const found = streams_.find(stream);
    if (found == streams_.end()) {
        queue_.remove(stream);
        return;
    }
    auto const& state = found->second;
    auto& of_class = classes_[state.service_class];
    // A cancelled or failed stream shows only a lower bound of its length, so the predictor does not observe it.
    if (end == stream_end::completed) {
        predictor_.observe(state.request.organisation, of_class.key, state.request.model, state.produced);
        warmup_.on_success(now);
    }
    --of_class.running;
    of_class.reserved.remove(state.reserved);
    reserved_.remove(state.reserved);
    held_tokens_ -= state.request.prompt_tokens + state.produced;
    streams_.erase(found);
    stream_end_rate_.on_event(now);
    record_recent_counts(now);
}

void admission_controller::record_recent_counts(base::time_point now) {
    recent_held_.record(held_tokens_, now);
    recent_running_.record(running(), now);
}

void admission_controller::on_load_report(load_report const& report, base::time_point now) {
    report_ = report;
    // A report lags behind the agent's own counts, so it is compared with their recent maximum.
    auto const held = recent_held_.value(held_tokens_, now);
    auto const batch = static_cast<std::uint32_t>(recent_running_.value(running(), now));
    unexplained_tokens_ = report.held_tokens > held ? report.held_tokens - held : 0;
    unexplained_running_ = report.running > batch ? report.running - batch : 0;
    report_expires_ = now + load_report_lifetime;
}

void admission_controller::on_incarnation(std::uint64_t id, base::duration uptime, base::time_point now) {
    incarnation_ = id;
    if (!warmup_.on_incarnation(id, uptime, now))
        return;
    std::vector<std::uint64_t> ended_streams;
    for (auto const& [stream, state] : streams_)
        ended_streams.push_back(stream);
    for (auto const stream : ended_streams)
        on_end(stream, stream_end::failed, now);
    report_.reset();
    report_expires_ = {};
}

void admission_controller::refuse_late_requests(base::time_point now, std::vector<admission_decision>& decisions) {
    for (std::size_t index = 0; index < classes_.size(); ++index) {
        auto& queue = queue_.requests(index);
        std::size_t kept = 0;
        for (std::size_t position = 0; position < queue.size(); ++position) {
            auto const& each = queue[position];
            auto const expired = each.expires_at <= now && disabled_.is_enabled(mechanism::queue_bound);
            auto const wait = expected_wait(index, kept, each.needed, now);
            if (expired || (disabled_.is_enabled(mechanism::early_refusal) && wait > each.expires_at - now)) {
                ++classes_[index].refused;
                decisions.push_back(
                    make_refusal(each.request.stream,
                                 expired ? base::error_kind::queue_timeout : base::error_kind::overloaded, wait));
            } else {
                if (kept != position)
                    queue[kept] = each;
                ++kept;
            }
        }
        queue.resize(kept);
    }
}

std::vector<admission_decision> admission_controller::poll(base::time_point now) {
    std::vector<admission_decision> decisions;
    while (auto const next = queue_.next_class(now)) {
        auto const& waiting = queue_.first(*next);
        if (waiting.expires_at <= now && disabled_.is_enabled(mechanism::queue_bound)) {
            ++classes_[*next].refused;
            decisions.push_back(make_refusal(waiting.request.stream, base::error_kind::queue_timeout,
                                             expected_wait(*next, 0, waiting.needed, now)));
            queue_.requests(*next).pop_front();
            continue;
        }
        auto const request = waiting.request;
        auto const needed = predicted_reservation(request, classes_[*next]);
        auto const limit = limit_reached(*next, needed, now);
        record_blocked(*next, limit, now);
        if (limit != admission_limit::none)
            break;
        queue_.pop(*next);
        start_stream(request, *next, needed, now);
        decisions.push_back({.stream = request.stream, .priority = classes_[*next].parameters.priority});
    }
    refuse_late_requests(now, decisions);
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
                             .held_tokens = held_tokens_,
                             .reserved_tokens = reserved_tokens(),
                             .memory_tokens = limits_.memory_tokens,
                             .unexplained_tokens = unexplained_tokens(now),
                             .unexplained_running = now < report_expires_ ? unexplained_running_ : 0,
                             .ends_per_second = stream_end_rate_.per_second(now),
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
