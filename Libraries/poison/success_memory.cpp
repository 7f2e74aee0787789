#include "poison/success_memory.h"

#include <iterator>

namespace cyclamenledge::poison {

void success_memory::add(std::uint64_t fingerprint, base::time_point at) {
    if (auto const found = by_fingerprint_.find(fingerprint); found != by_fingerprint_.end()) {
        found->second->at = at;
        successes_.splice(successes_.end(), successes_, found->second);
        return;
    }
    successes_.push_back({fingerprint, at});
    by_fingerprint_.emplace(fingerprint, std::prev(successes_.end()));
    if (successes_.size() > capacity_) {
        by_fingerprint_.erase(successes_.front().fingerprint);
        successes_.pop_front();
    }
}

std::optional<base::time_point> success_memory::last(std::uint64_t fingerprint) const {
    auto const found = by_fingerprint_.find(fingerprint);
    return found == by_fingerprint_.end() ? std::nullopt : std::optional{found->second->at};
}

} // namespace cyclamenledge::poison
