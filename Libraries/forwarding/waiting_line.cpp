#include "forwarding/waiting_line.h"

#include <algorithm>
#include <tuple>

namespace cyclamenledge::forwarding {

bool waiting_line::add(waiting_request request) {
    if (waiting_.size() >= most_waiting)
        return false;
    waiting_.push_back(std::move(request));
    return true;
}

void waiting_line::remove(std::uint64_t number) {
    std::erase_if(waiting_, [&](waiting_request const& item) { return item.number == number; });
}

std::vector<std::uint64_t> waiting_line::order(std::string const& service, base::time_point now) const {
    std::vector<waiting_request const*> line;
    for (auto const& item : waiting_) {
        if (item.service == service)
            line.push_back(&item);
    }
    std::ranges::sort(line, {}, [&](waiting_request const* item) {
        return std::tuple{now > item->on_time_until, item->priority, item->arrived, item->number};
    });
    std::vector<std::uint64_t> numbers;
    numbers.reserve(line.size());
    for (auto const* item : line)
        numbers.push_back(item->number);
    return numbers;
}

bool waiting_line::has_before(std::string const& service, std::uint32_t priority, base::time_point now) const {
    return std::ranges::any_of(waiting_, [&](waiting_request const& item) {
        return item.service == service && item.priority <= priority && now <= item.on_time_until;
    });
}

} // namespace cyclamenledge::forwarding
