#include "base/byte_budget.h"

namespace cyclamenledge::base {

bool byte_lease::resize(std::size_t bytes) {
    if (budget_) {
        auto const others = budget_->held_ - bytes_;
        if (bytes > bytes_ && bytes > (budget_->limit_ - others) / 2)
            return false;
        budget_->held_ = others + bytes;
    }
    bytes_ = bytes;
    return true;
}

} // namespace cyclamenledge::base
