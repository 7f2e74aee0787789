#include "forwarding/target_hold_off.h"

namespace cyclamenledge::forwarding {

bool target_hold_off::on_answer(base::milliseconds length, base::time_point now) {
    auto const end = now + length;
    if (end <= now || end <= end_)
        return false;
    if (!active(now))
        copy_calls_ = 0;
    end_ = end;
    return true;
}

bool target_hold_off::take_copy_call(base::time_point now) {
    if (!active(now))
        return true;
    if (copy_calls_ == maximum_copy_calls)
        return false;
    ++copy_calls_;
    return true;
}

} // namespace cyclamenledge::forwarding
