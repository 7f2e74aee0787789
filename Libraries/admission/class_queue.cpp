#include "admission/class_queue.h"

#include <algorithm>

namespace cyclamenledge::admission {

void class_queue::configure(std::size_t service_class, class_queue_parameters const& parameters) {
    if (service_class >= lines_.size())
        lines_.resize(service_class + 1);
    lines_[service_class].parameters = parameters;
    lines_[service_class].parameters.weight = std::max(1U, parameters.weight);
}

bool class_queue::push(std::size_t service_class, waiting_request const& waiting) {
    auto& line = lines_[service_class];
    if (disabled_.on(mechanism::queue_bound) && line.waiting.size() >= line.parameters.limit)
        return false;
    // A class that was idle gets no credit for the time in which it did not wait.
    if (line.waiting.empty())
        line.virtual_time = std::max(line.virtual_time, virtual_now_);
    line.waiting.push_back(waiting);
    return true;
}

bool class_queue::takes_part(class_line const& candidate, std::uint32_t highest_priority, base::time_point now) const {
    if (candidate.waiting.empty())
        return false;
    auto const& first = candidate.waiting.front();
    return candidate.parameters.priority == highest_priority ||
           now - first.queued_at >= (first.give_up_at - first.queued_at) / 2;
}

std::optional<std::size_t> class_queue::next_class(base::time_point now) const {
    std::uint32_t highest_priority = 0;
    for (auto const& line : lines_) {
        if (!line.waiting.empty())
            highest_priority = std::max(highest_priority, line.parameters.priority);
    }
    std::optional<std::size_t> best;
    for (std::size_t index = 0; index < lines_.size(); ++index) {
        auto const& line = lines_[index];
        if (disabled_.off(mechanism::fair_queue)) {
            if (!line.waiting.empty() &&
                (!best || line.waiting.front().queued_at < lines_[*best].waiting.front().queued_at))
                best = index;
            continue;
        }
        if (takes_part(line, highest_priority, now) && (!best || line.virtual_time < lines_[*best].virtual_time))
            best = index;
    }
    return best;
}

void class_queue::pop(std::size_t service_class) {
    auto& line = lines_[service_class];
    virtual_now_ = std::max(virtual_now_, line.virtual_time);
    line.virtual_time += static_cast<double>(line.waiting.front().needed.expected) / line.parameters.weight;
    line.waiting.pop_front();
}

bool class_queue::remove(std::uint64_t stream) {
    for (auto& line : lines_) {
        if (std::erase_if(line.waiting, [stream](auto const& each) { return each.request.stream == stream; }) > 0)
            return true;
    }
    return false;
}

std::size_t class_queue::total() const {
    std::size_t sum = 0;
    for (auto const& line : lines_)
        sum += line.waiting.size();
    return sum;
}

base::time_point class_queue::earliest_give_up() const {
    auto earliest = base::time_point::max();
    for (auto const& line : lines_) {
        for (auto const& each : line.waiting)
            earliest = std::min(earliest, each.give_up_at);
    }
    return earliest;
}

double class_queue::share(std::size_t service_class) const {
    auto const own = lines_[service_class].parameters.weight;
    double sum = own;
    for (std::size_t index = 0; index < lines_.size(); ++index) {
        if (index != service_class && !lines_[index].waiting.empty())
            sum += lines_[index].parameters.weight;
    }
    return own / sum;
}

} // namespace cyclamenledge::admission
