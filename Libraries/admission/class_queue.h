#pragma once

#include "admission/admission_types.h"
#include "admission/mechanism.h"
#include "admission/memory_reserve.h"
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

struct waiting_request {
    admission_request request;
    /// The expected part is its cost in the weighted order.
    memory_reserve needed;
    base::time_point queued_at{};
    /// The earlier of the queue's and the caller's deadline.
    base::time_point give_up_at{};
};

/// Requests waiting at one target, one bounded line per class. A class of higher priority goes first, except that a
/// line whose first request has used half of its time takes part as well, so that no class starves. Between those the
/// order is weighted fair.
class class_queue {
public:
    explicit class_queue(disabled_mechanisms disabled)
        : disabled_(disabled) {}

    /// Adds the class with this number or replaces its parameters.
    void configure(std::size_t service_class, class_queue_parameters const& parameters);
    /// Returns false when the line of the class is full.
    bool push(std::size_t service_class, waiting_request const& waiting);
    /// The class whose first request is next; no value when nothing waits.
    std::optional<std::size_t> next_class(base::time_point now) const;
    waiting_request const& first(std::size_t service_class) const { return lines_[service_class].waiting.front(); }
    void pop(std::size_t service_class);
    bool remove(std::uint64_t stream);

    std::deque<waiting_request>& line(std::size_t service_class) { return lines_[service_class].waiting; }
    std::size_t size(std::size_t service_class) const { return lines_[service_class].waiting.size(); }
    std::size_t total() const;
    base::time_point earliest_give_up() const;
    class_queue_parameters const& parameters(std::size_t service_class) const {
        return lines_[service_class].parameters;
    }
    /// Share of the service that the class receives while the classes that wait now keep waiting.
    double share(std::size_t service_class) const;

private:
    struct class_line {
        class_queue_parameters parameters;
        std::deque<waiting_request> waiting;
        /// Weighted service received so far; the class with the least goes first.
        double virtual_time{0};
    };

    bool takes_part(class_line const& candidate, std::uint32_t highest_priority, base::time_point now) const;

    disabled_mechanisms disabled_;
    std::vector<class_line> lines_;
    double virtual_now_{0};
};

} // namespace cyclamenledge::admission
