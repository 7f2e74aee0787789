#include "http/status_kind.h"

namespace cyclamenledge::http {

status_kind kind_of_status(unsigned status) {
    // RFC 9110, 15: what lies outside of 100 to 599 is no status.
    constexpr unsigned lowest_status = 100;
    constexpr unsigned lowest_answer = 200;
    constexpr unsigned highest_status = 599;
    // No request of this process asks for another protocol.
    constexpr unsigned switching_protocols = 101;
    if (status < lowest_status || status > highest_status || status == switching_protocols)
        return status_kind::no_answer;
    return status < lowest_answer ? status_kind::interim : status_kind::answer;
}

} // namespace cyclamenledge::http
