#include "soak/stream_check.h"

#include <string_view>

namespace cyclamenledge::soak {

std::string stream_check::on_event(forwarding::stream_event const& event) {
    auto const number = expected_++;
    auto const wanted = "data: " + request_ + ":" + std::to_string(number) + "\n";
    if (event.id == number && event.bytes.find(wanted) != std::string_view::npos)
        return {};
    return "event " + std::to_string(number) + " of " + request_ + " is missing or wrong: " + std::string{event.bytes};
}

std::string stream_check::on_end() const {
    if (expected_ == length_ + 1)
        return {};
    return "a stream of " + std::to_string(length_) + " events ended as complete after " +
           std::to_string(expected_ - 1) + ": " + request_;
}

} // namespace cyclamenledge::soak
