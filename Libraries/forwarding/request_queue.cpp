#include "forwarding/request_queue.h"

#include <algorithm>
#include <tuple>

namespace cyclamenledge::forwarding {

bool request_queue::add(queued_request request) {
    if (requests_.size() >= maximum_size)
        return false;
    requests_.push_back(std::move(request));
    return true;
}

void request_queue::remove(std::uint64_t number) {
    std::erase_if(requests_, [&](queued_request const& item) { return item.number == number; });
}

std::vector<std::uint64_t> request_queue::order(std::string const& service, base::time_point now) const {
    std::vector<queued_request const*> ordered;
    for (auto const& item : requests_) {
        if (item.service == service)
            ordered.push_back(&item);
    }
    std::ranges::sort(ordered, {}, [&](queued_request const* item) {
        return std::tuple{now > item->on_time_until, item->priority, item->arrived, item->number};
    });
    std::vector<std::uint64_t> numbers;
    numbers.reserve(ordered.size());
    for (auto const* item : ordered)
        numbers.push_back(item->number);
    return numbers;
}

std::size_t request_queue::count(std::string_view service) const {
    return static_cast<std::size_t>(std::ranges::count(requests_, service, &queued_request::service));
}

bool request_queue::has_ahead_of(std::string const& service, std::uint32_t priority, base::time_point now) const {
    return std::ranges::any_of(requests_, [&](queued_request const& item) {
        return item.service == service && item.priority <= priority && now <= item.on_time_until;
    });
}

} // namespace cyclamenledge::forwarding
