#include "engine_model/prefix_cache.h"

namespace cyclamenledge::engine_model {

bool prefix_cache::use(std::uint64_t prefix, std::uint32_t tokens, base::time_point now) {
    if (auto const found = index_.find(prefix); found != index_.end()) {
        items_.splice(items_.begin(), items_, found->second);
        return true;
    }
    if (tokens == 0 || tokens > parameters_.capacity_tokens)
        return false;
    while (held_tokens_ + tokens > parameters_.capacity_tokens) {
        record(cache_change::evicted, items_.back().prefix, now);
        held_tokens_ -= items_.back().tokens;
        index_.erase(items_.back().prefix);
        items_.pop_back();
    }
    items_.push_front({prefix, tokens});
    index_.emplace(prefix, items_.begin());
    held_tokens_ += tokens;
    record(cache_change::stored, prefix, now);
    return false;
}

void prefix_cache::clear() {
    items_.clear();
    index_.clear();
    pending_.clear();
    held_tokens_ = 0;
}

std::vector<cache_event> prefix_cache::take_events(base::time_point now) {
    std::vector<cache_event> visible;
    while (!pending_.empty() && pending_.front().visible_at <= now) {
        visible.push_back(pending_.front().event);
        pending_.pop_front();
    }
    return visible;
}

void prefix_cache::record(cache_change change, std::uint64_t prefix, base::time_point now) {
    ++sequence_;
    if (parameters_.lose_every != 0 && sequence_ % parameters_.lose_every == 0)
        return;
    pending_.push_back({now + parameters_.event_delay, {sequence_, change, prefix}});
}

} // namespace cyclamenledge::engine_model
