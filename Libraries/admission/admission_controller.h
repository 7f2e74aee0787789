#pragma once

#include "admission/admission_types.h"
#include "admission/batch_bound.h"
#include "admission/class_queue.h"
#include "admission/event_rate.h"
#include "admission/length_predictor.h"
#include "admission/mechanism.h"
#include "admission/memory_reservation.h"
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

/// Capacity limits of the target that the controller protects.
struct target_limits {
    std::uint64_t memory_tokens{0};
    std::uint32_t maximum_running{64};
    std::uint32_t warmup_floor{2};
};

/// Decides at the agent which generations its target runs. The caller invokes poll() after every other event, and at
/// next_poll() at the latest.
class admission_controller {
public:
    /// Admits, queues or refuses a request immediately. A later poll() returns the final decision on a queued request.
    admission_decision offer(admission_request const& request, base::time_point now);
    /// Registers a generation that the engine already ran before a restart of the agent.
    void adopt(admission_request const& request, std::uint32_t produced, base::time_point now);
    void on_token(std::uint64_t stream, std::uint32_t count, base::time_point now);
    /// Releases the resources of a running stream, or removes a request that is still queued.
    void on_end(std::uint64_t stream, stream_end end, base::time_point now);
    void on_load_report(load_report const& report, base::time_point now);
    /// Ends the streams of an earlier incarnation of the engine as failed.
    void on_incarnation(std::uint64_t id, base::duration uptime, base::time_point now);
    /// Restarts the warm-up after the target returned to service. Running streams continue.
    void on_return_to_service(base::time_point now) { warmup_.reset(now); }
    /// Returns the final decisions on queued requests.
    std::vector<admission_decision> poll(base::time_point now);
    /// The time at which poll() is due if no event occurs earlier.
    base::time_point next_poll() const { return queue_.earliest_expiry(); }

    /// Applies the classes of a new catalogue revision. Classes that are no longer listed keep their last parameters
    /// for their running streams.
    void apply(std::vector<catalogue::service_class> const& classes);

    load_hint hint() const;
    admission_snapshot snapshot(base::time_point now);
    length_predictor& predictor() { return predictor_; }
    std::uint64_t reserved_tokens() const { return reserved_.tokens(disabled_.is_enabled(mechanism::pooled_spread)); }
    std::uint64_t held_tokens() const { return held_tokens_; }
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
        /// Quantile of the output length that is reserved, adjusted for the goal of the class.
        double quantile{0};
        batch_bound bound;
        std::uint32_t running{0};
        memory_reservation_sum reserved;
        std::uint64_t admitted{0};
        std::uint64_t refused{0};
        /// End of the time for which the class counts as blocked, and the limit that its request reached.
        base::time_point blocked_until{};
        admission_limit blocked_by{admission_limit::none};
    };

    struct stream_state {
        admission_request request;
        std::size_t service_class{0};
        std::uint32_t produced{0};
        memory_reservation reserved;
        /// Number of output tokens at which the remaining length is predicted again.
        std::uint32_t next_prediction_at{0};
        std::uint32_t next_success_at{0};
        base::time_point last_token{};
    };

    admission_controller(target_limits const& limits, length_predictor_parameters const& lengths,
                         disabled_mechanisms disabled, base::time_point now);

    std::optional<std::size_t> find_class(std::uint64_t key) const;
    batch_bound_parameters bound_parameters(catalogue::service_class const& parameters) const;
    double reserved_quantile(catalogue::service_class const& parameters) const;
    memory_reservation predicted_reservation(admission_request const& request, class_state const& of_class);
    memory_reservation bounded_reservation(std::uint64_t held, std::uint64_t expected, std::uint64_t at_quantile,
                                           admission_request const& request) const;
    std::uint64_t reserved_with(memory_reservation const& added) const;
    admission_limit limit_reached(std::size_t service_class, memory_reservation const& needed,
                                  base::time_point now) const;
    double weight_share(std::size_t service_class, base::time_point now) const;
    /// Whether the class stays within its weighted share of the resource that the limit bounds after one more
    /// admission.
    bool within_share(std::size_t service_class, admission_limit limit, memory_reservation const& added,
                      base::time_point now) const;
    /// Whether the admission must leave room for another class, which is blocked and within its share, because it would
    /// bring its own class above its share.
    bool must_leave_room_for_others(std::size_t service_class, memory_reservation const& needed,
                                    base::time_point now) const;
    void record_blocked(std::size_t service_class, admission_limit limit, base::time_point now);
    std::uint32_t smallest_batch_bound(std::size_t service_class) const;
    std::uint32_t effective_running(base::time_point now) const;
    std::uint64_t unexplained_tokens(base::time_point now) const;
    void start_stream(admission_request const& request, std::size_t service_class, memory_reservation const& reserved,
                      base::time_point now);
    void renew_prediction(stream_state& stream);
    base::duration expected_wait(std::size_t service_class, std::size_t ahead, memory_reservation const& needed,
                                 base::time_point now);
    admission_decision make_refusal(std::uint64_t stream, base::error_kind error, base::duration wait) const;
    void refuse_late_requests(base::time_point now, std::vector<admission_decision>& decisions);
    void record_recent_counts(base::time_point now);

    target_limits limits_;
    disabled_mechanisms disabled_;
    length_predictor predictor_;
    warmup_limit warmup_;
    class_queue queue_;
    std::vector<class_state> classes_;
    boost::unordered_flat_map<std::uint64_t, stream_state> streams_;
    /// Sums over streams_: the tokens held now, and the reservations for their final lengths.
    std::uint64_t held_tokens_{0};
    memory_reservation_sum reserved_;
    recent_maximum recent_held_;
    recent_maximum recent_running_;
    std::optional<load_report> report_;
    std::uint64_t unexplained_tokens_{0};
    std::uint32_t unexplained_running_{0};
    base::time_point report_expires_{};
    event_rate stream_end_rate_;
    std::uint64_t incarnation_{0};
};

} // namespace cyclamenledge::admission
