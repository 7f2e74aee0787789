#pragma once

#include "admission/admission_types.h"
#include "admission/batch_bound.h"
#include "admission/class_queue.h"
#include "admission/event_rate.h"
#include "admission/length_predictor.h"
#include "admission/mechanism.h"
#include "admission/memory_reserve.h"
#include "admission/recent_maximum.h"
#include "admission/warmup_limit.h"
#include "base/time.h"
#include "catalogue/service_class.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::admission {

/// Limits of the target in front of which the controller decides.
struct target_limits {
    std::uint64_t memory_tokens{0};
    std::uint32_t maximum_running{64};
    std::uint32_t warmup_floor{2};
};

/// Decides at the agent which generations its target runs. Call poll after every other event and at next_poll().
class admission_controller {
public:
    /// Decides at once. A queued request is answered later by poll.
    admission_decision offer(admission_request const& request, base::time_point now);
    /// Takes over a generation that the engine already runs, after a restart of the agent.
    void adopt(admission_request const& request, std::uint32_t produced, base::time_point now);
    void on_token(std::uint64_t stream, std::uint32_t count, base::time_point now);
    /// Also withdraws a request that is still queued.
    void on_end(std::uint64_t stream, stream_end end, base::time_point now);
    void on_load_report(load_report const& report, base::time_point now);
    /// The streams of an earlier incarnation are gone and count as failed.
    void on_incarnation(std::uint64_t id, base::duration uptime, base::time_point now);
    /// The target is back in service. It counts as cold, but its running streams go on.
    void on_return_to_service(base::time_point now) { warmup_.on_start(now); }
    /// Admissions and refusals of queued requests.
    std::vector<admission_decision> poll(base::time_point now);
    /// When poll has to be called if nothing happens before.
    base::time_point next_poll() const { return queue_.earliest_give_up(); }

    /// Puts the classes of a new catalogue in force. Classes that are no longer listed keep their last parameters, for
    /// the streams that still run.
    void apply(std::vector<catalogue::service_class> const& classes);

    load_hint hint() const;
    admission_snapshot snapshot(base::time_point now);
    length_predictor& predictor() { return predictor_; }
    std::uint64_t reserved_tokens() const { return reserved_.tokens(disabled_.on(mechanism::pooled_spread)); }
    std::uint64_t held_tokens() const { return held_; }
    std::uint32_t running() const { return static_cast<std::uint32_t>(streams_.size()); }
    std::uint32_t warmup_bound() const { return warmup_.bound(); }

private:
    friend class admission_controller_builder;

    struct class_state {
        class_state(std::uint64_t name_hash, batch_bound_parameters const& bounds)
            : key(name_hash)
            , bound(bounds) {}

        catalogue::service_class parameters;
        std::uint64_t key{0};
        /// Quantile that is reserved, after the goal of the class.
        double quantile{0};
        batch_bound bound;
        std::uint32_t running{0};
        memory_reserve_sum reserved;
        std::uint64_t admitted{0};
        std::uint64_t refused{0};
        /// Until when the class counts as kept out, and the limit that it met.
        base::time_point blocked_until{};
        admission_limit blocked_by{admission_limit::none};
    };

    struct stream_state {
        admission_request request;
        std::size_t service_class{0};
        std::uint32_t produced{0};
        memory_reserve reserved;
        /// Number of tokens at which the remaining length is predicted again.
        std::uint32_t predict_again_at{0};
        std::uint32_t next_success_at{0};
        base::time_point last_token{};
    };

    admission_controller(target_limits const& limits, length_predictor_parameters const& lengths,
                         disabled_mechanisms disabled, base::time_point now);

    std::optional<std::size_t> find_class(std::uint64_t key) const;
    batch_bound_parameters bound_parameters(catalogue::service_class const& parameters) const;
    double reserved_quantile(catalogue::service_class const& parameters) const;
    memory_reserve reservation(admission_request const& request, class_state const& of_class);
    memory_reserve bounded_reserve(std::uint64_t held, std::uint64_t expected, std::uint64_t at_quantile,
                                   admission_request const& request) const;
    std::uint64_t reserved_with(memory_reserve const& added) const;
    admission_limit limit_reached(std::size_t service_class, memory_reserve const& needed, base::time_point now) const;
    double weight_share(std::size_t service_class, base::time_point now) const;
    /// Whether the class stays within its weighted share of what the limit bounds, with one more request.
    bool below_share(std::size_t service_class, admission_limit limit, memory_reserve const& added,
                     base::time_point now) const;
    bool kept_for_others(std::size_t service_class, memory_reserve const& needed, base::time_point now) const;
    void record_blocked(std::size_t service_class, admission_limit limit, base::time_point now);
    std::uint32_t smallest_batch_bound(std::size_t service_class) const;
    std::uint32_t effective_running(base::time_point now) const;
    std::uint64_t unexplained_tokens(base::time_point now) const;
    void start(admission_request const& request, std::size_t service_class, memory_reserve const& reserved,
               base::time_point now);
    void predict_again(stream_state& stream);
    base::duration expected_wait(std::size_t service_class, std::size_t ahead, memory_reserve const& needed,
                                 base::time_point now);
    admission_decision refuse(std::uint64_t stream, base::error_kind error, base::duration wait) const;
    void refuse_hopeless(base::time_point now, std::vector<admission_decision>& decisions);
    void record_counts(base::time_point now);

    target_limits limits_;
    disabled_mechanisms disabled_;
    length_predictor predictor_;
    warmup_limit warmup_;
    class_queue queue_;
    std::vector<class_state> classes_;
    boost::unordered_flat_map<std::uint64_t, stream_state> streams_;
    /// Running sums over streams_: tokens held now, and held plus expected.
    std::uint64_t held_{0};
    memory_reserve_sum reserved_;
    recent_maximum recent_held_;
    recent_maximum recent_running_;
    std::optional<load_report> report_;
    std::uint64_t unexplained_tokens_{0};
    std::uint32_t unexplained_running_{0};
    base::time_point report_expires_{};
    event_rate ends_;
    std::uint64_t incarnation_{0};
};

} // namespace cyclamenledge::admission
