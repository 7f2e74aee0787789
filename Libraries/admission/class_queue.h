#pragma once

#include "admission/admission_types.h"
#include "admission/mechanism.h"
#include "admission/memory_reservation.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace cyclamenledge::admission {

struct class_queue_parameters {
    std::uint32_t weight{1};
    std::uint32_t priority{0};
    std::uint32_t limit{64};
    base::duration deadline{base::seconds{5}};
};

struct queued_request {
    admission_request request;
    /// Memory that the request reserves. Its expected part is the cost of the request in weighted fair queueing.
    memory_reservation needed;
    base::time_point queued_at{};
    /// The earlier of the queue deadline and the caller's deadline.
    base::time_point expires_at{};
};

/// Requests queued at one target, in one bounded queue per class. The classes of the highest priority are served first.
/// A class of lower priority competes with them once its first request has spent half of its time in the queue, so that
/// no class starves. The competing classes are served by weighted fair queueing.
class class_queue {
public:
    explicit class_queue(disabled_mechanisms disabled)
        : disabled_(disabled) {}

    /// Adds the class with this index or replaces its parameters.
    void configure(std::size_t service_class, class_queue_parameters const& parameters);
    /// Returns false when the queue of the class is full.
    bool push(std::size_t service_class, queued_request const& request);
    /// The class whose first request is served next; no value when all queues are empty.
    std::optional<std::size_t> next_class(base::time_point now) const;
    queued_request const& first(std::size_t service_class) const { return queues_[service_class].requests.front(); }
    void pop(std::size_t service_class);
    bool remove(std::uint64_t stream);

    std::deque<queued_request>& requests(std::size_t service_class) { return queues_[service_class].requests; }
    std::size_t size(std::size_t service_class) const { return queues_[service_class].requests.size(); }
    std::size_t total() const;
    base::time_point earliest_expiry() const;
    class_queue_parameters const& parameters(std::size_t service_class) const {
        return queues_[service_class].parameters;
    }
    /// Fraction of the admissions that the class receives while the other nonempty queues stay nonempty.
    double share(std::size_t service_class) const;

private:
    struct per_class_queue {
        class_queue_parameters parameters;
        std::deque<queued_request> requests;
        /// Weighted service received so far; the class with the lowest value is served first.
        double virtual_time{0};
    };

    bool competes(per_class_queue const& candidate, std::uint32_t highest_priority, base::time_point now) const;

    disabled_mechanisms disabled_;
    std::vector<per_class_queue> queues_;
    double virtual_time_{0};
};

} // namespace cyclamenledge::admission
