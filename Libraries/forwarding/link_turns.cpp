#include "forwarding/link_turns.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cyclamenledge::forwarding {

void link_turns::add(link_turn_request request) {
    remove(request.request);
    waiting_.push_back(std::move(request));
}

void link_turns::remove(std::string const& request) {
    std::erase_if(waiting_, [&](link_turn_request const& item) { return item.request == request; });
    if (holder_ && holder_->request == request)
        holder_.reset();
}

void link_turns::remove_entry(std::uint64_t entry) {
    std::erase_if(waiting_, [&](link_turn_request const& item) { return item.entry == entry; });
    if (holder_ && holder_->entry == entry)
        holder_.reset();
}

std::optional<link_turn_request> link_turns::next(std::optional<base::milliseconds> leaves_in, base::time_point now) {
    if (holder_ && now - held_since_ > longest_turn)
        holder_.reset();
    if (holder_ || waiting_.empty())
        return std::nullopt;
    auto const first = std::ranges::min_element(waiting_, {}, [&](link_turn_request const& item) {
        bool const ends_in_time = leaves_in && item.remaining < *leaves_in;
        return std::tuple{ends_in_time, item.tokens};
    });
    holder_ = std::move(*first);
    waiting_.erase(first);
    held_since_ = now;
    return holder_;
}

} // namespace cyclamenledge::forwarding
