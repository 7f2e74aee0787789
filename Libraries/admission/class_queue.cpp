#include "admission/class_queue.h"

#include <algorithm>

namespace cyclamenledge::admission {

void class_queue::configure(std::size_t service_class, class_queue_parameters const& parameters) {
    if (service_class >= queues_.size())
        queues_.resize(service_class + 1);
    queues_[service_class].parameters = parameters;
    queues_[service_class].parameters.weight = std::max(1U, parameters.weight);
}

bool class_queue::push(std::size_t service_class, queued_request const& request) {
    auto& queue = queues_[service_class];
    if (disabled_.is_enabled(mechanism::queue_bound) && queue.requests.size() >= queue.parameters.limit)
        return false;
    // A class accumulates no credit while its queue is empty.
    if (queue.requests.empty())
        queue.virtual_time = std::max(queue.virtual_time, virtual_time_);
    queue.requests.push_back(request);
    return true;
}

bool class_queue::competes(per_class_queue const& candidate, std::uint32_t highest_priority,
                           base::time_point now) const {
    if (candidate.requests.empty())
        return false;
    auto const& first = candidate.requests.front();
    return candidate.parameters.priority == highest_priority ||
           now - first.queued_at >= (first.expires_at - first.queued_at) / 2;
}

std::optional<std::size_t> class_queue::next_class(base::time_point now) const {
    std::uint32_t highest_priority = 0;
    for (auto const& queue : queues_) {
        if (!queue.requests.empty())
            highest_priority = std::max(highest_priority, queue.parameters.priority);
    }
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < queues_.size(); ++index) {
        auto const& queue = queues_[index];
        if (disabled_.is_disabled(mechanism::fair_queue)) {
            if (!queue.requests.empty() &&
                (!best || queue.requests.front().queued_at < queues_[*best].requests.front().queued_at))
                best = index;
            continue;
        }
        if (competes(queue, highest_priority, now) && (!best || queue.virtual_time < queues_[*best].virtual_time))
            best = index;
    }
    return best;
}

void class_queue::pop(std::size_t service_class) {
    auto& queue = queues_[service_class];
    virtual_time_ = std::max(virtual_time_, queue.virtual_time);
    queue.virtual_time += static_cast<double>(queue.requests.front().needed.expected) / queue.parameters.weight;
    queue.requests.pop_front();
}

bool class_queue::remove(std::uint64_t stream) {
    for (auto& queue : queues_) {
        if (std::erase_if(queue.requests, [stream](auto const& each) { return each.request.stream == stream; }) > 0)
            return true;
    }
    return false;
}

std::size_t class_queue::total() const {
    std::size_t sum = 0;
    for (auto const& queue : queues_)
        sum += queue.requests.size();
    return sum;
}

base::time_point class_queue::earliest_expiry() const {
    auto earliest = base::time_point::max();
    for (auto const& queue : queues_) {
        for (auto const& each : queue.requests)
            earliest = std::min(earliest, each.expires_at);
    }
    return earliest;
}

double class_queue::share(std::size_t service_class) const {
    auto const own = queues_[service_class].parameters.weight;
    double sum = own;
    for (std::size_t index = 0; index < queues_.size(); ++index) {
        if (index != service_class && !queues_[index].requests.empty())
            sum += queues_[index].parameters.weight;
    }
    return own / sum;
}

} // namespace cyclamenledge::admission
