#include "retry/retry_budget.h"

namespace cyclamenledge::retry {

void retry_budget::deposit(base::time_point now) {
    ++slot_at(now).requests;
}

bool retry_budget::try_spend(base::time_point now) {
    if (available(now) < 1)
        return false;
    ++slot_at(now).spent;
    return true;
}

double retry_budget::available(base::time_point now) const {
    auto const current = second_of(now);
    std::uint64_t requests = 0;
    std::uint64_t spent = 0;
    for (auto const& item : slots_) {
        if (item.second <= current - window.count())
            continue;
        requests += item.requests;
        spent += item.spent;
    }
    return share_of_requests * static_cast<double>(requests) + static_cast<double>(reserve) -
           static_cast<double>(spent);
}

std::int64_t retry_budget::second_of(base::time_point now) {
    return std::chrono::floor<base::seconds>(now).time_since_epoch().count();
}

retry_budget::slot& retry_budget::slot_at(base::time_point now) {
    auto const current = second_of(now);
    auto& item = slots_[static_cast<std::size_t>(current) % slots_.size()];
    if (item.second < current)
        item = {current, 0, 0};
    return item;
}

} // namespace cyclamenledge::retry
