#include "engine_model/prefix_cache.h"

namespace cyclamenledge::engine_model {

bool prefix_cache::use(std::uint64_t prefix, std::uint32_t tokens, base::time_point now) {
    if (auto const found = index_.find(prefix); found != index_.end()) {
        prefixes_.splice(prefixes_.begin(), prefixes_, found->second);
        return true;
    }
    if (tokens == 0 || tokens > parameters_.capacity_tokens)
        return false;
    while (held_tokens_ + tokens > parameters_.capacity_tokens) {
        record(cache_change::evicted, prefixes_.back().prefix, now);
        held_tokens_ -= prefixes_.back().tokens;
        index_.erase(prefixes_.back().prefix);
        prefixes_.pop_back();
    }
    prefixes_.push_front({prefix, tokens});
    index_.emplace(prefix, prefixes_.begin());
    held_tokens_ += tokens;
    record(cache_change::stored, prefix, now);
    return false;
}

void prefix_cache::clear() {
    prefixes_.clear();
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
    if (parameters_.drop_every != 0 && sequence_ % parameters_.drop_every == 0)
        return;
    pending_.push_back({now + parameters_.event_delay, {sequence_, change, prefix}});
}

} // namespace cyclamenledge::engine_model
