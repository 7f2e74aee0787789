#include "forwarding/copy_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cyclamenledge::forwarding {

void copy_queue::add(copy_slot_request request) {
    remove(request.request);
    queue_.push_back(std::move(request));
}

void copy_queue::remove(std::string const& request) {
    std::erase_if(queue_, [&](copy_slot_request const& item) { return item.request == request; });
    if (active_copy_ && active_copy_->request == request)
        active_copy_.reset();
}

void copy_queue::remove_entry(std::uint64_t entry) {
    std::erase_if(queue_, [&](copy_slot_request const& item) { return item.entry == entry; });
    if (active_copy_ && active_copy_->entry == entry)
        active_copy_.reset();
}

std::optional<copy_slot_request> copy_queue::next(std::optional<base::milliseconds> leaves_in, base::time_point now) {
    if (active_copy_ && now - copy_started_at_ > maximum_copy_time)
        active_copy_.reset();
    if (active_copy_ || queue_.empty())
        return std::nullopt;
    auto const first = std::ranges::min_element(queue_, {}, [&](copy_slot_request const& item) {
        bool const ends_in_time = leaves_in && item.remaining < *leaves_in;
        return std::tuple{ends_in_time, item.tokens};
    });
    active_copy_ = std::move(*first);
    queue_.erase(first);
    copy_started_at_ = now;
    return active_copy_;
}

} // namespace cyclamenledge::forwarding
