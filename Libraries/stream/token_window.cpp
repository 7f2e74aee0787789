#include "stream/token_window.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::stream {

std::uint32_t token_window::consume(std::uint32_t wanted) {
    auto const consumed = std::min(wanted, credit_);
    credit_ -= consumed;
    return consumed;
}

bool token_window::grant(std::uint32_t credit) {
    if (credit > window_tokens - credit_)
        return false;
    credit_ += credit;
    return true;
}

std::uint32_t credit_return::on_delivered(std::uint32_t tokens) {
    unreturned_ += tokens;
    return unreturned_ < credit_batch_tokens ? 0 : std::exchange(unreturned_, 0);
}

} // namespace cyclamenledge::stream
