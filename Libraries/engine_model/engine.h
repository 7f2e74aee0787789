#pragma once

#include "base/time.h"
#include "engine_model/machine_pace.h"
#include "engine_model/prefix_cache.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cyclamenledge::engine_model {

/// Costs and limits of one engine. The defaults give about 49 ms per step with 40 streams and 50,000 held tokens.
struct engine_parameters {
    base::duration step_base{base::milliseconds{14}};
    base::duration step_per_stream{std::chrono::microseconds{500}};
    base::duration step_per_thousand_held{std::chrono::microseconds{250}};
    base::duration prefill_per_token{std::chrono::microseconds{25}};
    /// Maximum number of prompt tokens computed in one step.
    std::uint32_t prefill_chunk{256};
    std::uint32_t memory_tokens{48000};
    std::uint32_t maximum_batch{256};
    prefix_cache_parameters cache{};
    machine_parameters machine{};
    base::duration report_interval{base::milliseconds{500}};
    base::duration report_lag{base::milliseconds{700}};
    /// After a start, the duration of steps is multiplied by cold_slowdown. The factor falls linearly to 1 over this
    /// time.
    base::duration cold_duration{base::seconds{10}};
    double cold_slowdown{4.0};
    /// Number of streams that an engine can run without overload right after a start. It doubles per cold_doubling.
    std::uint32_t cold_initial_capacity{4};
    base::duration cold_doubling{base::seconds{2}};
    /// A cold engine crashes after a step with more streams than this multiple of its cold capacity.
    double cold_failure_factor{2.0};
};

struct generation_request {
    std::uint64_t id{0};
    std::uint32_t prompt_tokens{0};
    std::uint32_t output_tokens{1};
    std::uint32_t priority{0};
    std::uint64_t prefix{0};
    std::uint32_t prefix_tokens{0};
};

enum class engine_event_kind : std::uint8_t { token, preempted, completed, cancelled, failed };

struct engine_event {
    engine_event_kind kind{engine_event_kind::token};
    std::uint64_t id{0};
    /// Index of the token from 0 for token events; the number of tokens produced for other events.
    std::uint32_t index{0};
    base::time_point at{};
};

struct engine_load_report {
    std::uint32_t running{0};
    std::uint32_t waiting{0};
    std::uint32_t held_tokens{0};
    std::uint64_t incarnation{0};
    base::duration uptime{};
    base::time_point taken_at{};
};

struct live_generation {
    std::uint64_t id{0};
    std::uint32_t prompt_tokens{0};
    std::uint32_t produced{0};
};

/// Simulates one engine with continuous batching. The caller passes in the time; equal calls produce equal events.
class engine {
public:
    engine(engine_parameters const& parameters, base::time_point now, bool cold = true);

    /// Returns false if the engine is down, if a generation with this id exists, or if prompt and output together
    /// exceed the memory.
    bool submit(generation_request const& request, base::time_point now);
    bool cancel(std::uint64_t id, base::time_point now);
    /// Runs all steps that end by `now` and returns their events in order.
    std::vector<engine_event> advance(base::time_point now);
    std::vector<live_generation> live() const;
    /// Returns the tokens produced so far, beginning at an index; no value if the generation does not exist or has not
    /// reached the index.
    std::optional<std::vector<engine_event>> resume(std::uint64_t id, std::uint32_t from_index,
                                                    base::time_point now) const;

    void crash(base::time_point now);
    void restart(base::time_point now);
    void stall(base::time_point until);
    /// Makes a running engine cold without starting a new incarnation.
    void make_cold(base::time_point now) { cold_since_ = now; }

    bool up() const { return up_; }
    std::uint64_t incarnation() const { return incarnation_; }
    /// End time of the current step; no value when idle.
    std::optional<base::time_point> next_step_end() const { return step_end_; }
    std::uint32_t cold_capacity(base::time_point now) const;
    std::uint32_t running() const;
    std::uint32_t held_tokens() const { return held_tokens_; }
    /// Number of steps that a cold engine ran with more streams than its cold capacity.
    std::uint64_t overloaded_steps() const { return overloaded_steps_; }
    /// Returns the newest load report that has become visible since the last call, after the report lag.
    std::optional<engine_load_report> load_report(base::time_point now);
    std::vector<cache_event> take_cache_events(base::time_point now) { return cache_.take_events(now); }

private:
    struct generation {
        generation_request request;
        std::uint64_t order{0};
        std::uint32_t produced{0};
        std::uint32_t held{0};
        /// Number of tokens to compute before the next token can be produced.
        std::uint32_t remaining_prefill_tokens{0};
        bool running{false};
    };

    void start_step(base::time_point now);
    void finish_step(base::time_point now, std::vector<engine_event>& events);
    void schedule(base::time_point now);
    void preempt_to_fit(base::time_point now);
    std::uint32_t run_prefill();
    double slowdown(base::time_point now) const;
    void fail_all_generations(base::time_point now);
    void record_reports(base::time_point now);
    std::vector<generation>::iterator find(std::uint64_t id);
    std::vector<generation>::const_iterator find(std::uint64_t id) const;

    engine_parameters parameters_;
    prefix_cache cache_;
    machine_pace machine_;
    std::vector<generation> generations_;
    std::vector<engine_event> pending_events_;
    std::deque<engine_load_report> reports_;
    std::optional<base::time_point> step_end_;
    base::time_point started_at_;
    base::time_point cold_since_;
    base::time_point stalled_until_{};
    base::time_point next_report_;
    std::uint64_t incarnation_{1};
    std::uint64_t last_order_{0};
    std::uint64_t overloaded_steps_{0};
    std::uint32_t held_tokens_{0};
    bool up_{true};
};

} // namespace cyclamenledge::engine_model
