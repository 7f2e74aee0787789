#include "forwarding_entry/answers.h"

#include "platform/request_headers.h"

#include <iomanip>
#include <sstream>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace {

constexpr double milliseconds_per_second = 1000.0;

void copy_headers(http::response_head const& source, http::response_head& destination) {
    // The number, because the library's enumeration has no value for statuses that it does not know.
    destination.result(source.result_int());
    destination.reason(source.reason());
    for (auto const& field : source) {
        auto const name = field.name_string();
        if (platform::is_forwarded_answer_header({name.data(), name.size()}))
            destination.insert(name, field.value());
    }
}

} // namespace

base::error make_poison_refusal(base::milliseconds time_to_expiry) {
    return base::make_error(base::error_kind::poison_request,
                            "targets crashed while they ran requests with this content", time_to_expiry);
}

void set_return_time(http::response& answer, base::milliseconds time) {
    if (answer.count(http::beast_http::field::retry_after) > 0)
        return;
    std::ostringstream seconds;
    seconds << std::fixed << std::setprecision(2) << static_cast<double>(time.count()) / milliseconds_per_second;
    answer.set(http::beast_http::field::retry_after, seconds.str());
}

http::response make_error_answer(base::error const& failure) {
    auto answer = http::make_error_response(failure);
    answer.result(platform::status_for_caller(failure.kind));
    if (failure.retry_after) {
        answer.erase(http::beast_http::field::retry_after);
        set_return_time(answer, *failure.retry_after);
    }
    return answer;
}

http::response make_caller_answer(http::response_head const& head, std::string body) {
    http::response answer;
    answer.version(http::http_version_1_1);
    copy_headers(head, answer.base());
    answer.body() = std::move(body);
    return answer;
}

http::response_head make_caller_head(http::response_head const& head) {
    http::response_head copy;
    copy_headers(head, copy);
    return copy;
}

} // namespace cyclamenledge::forwarding_entry
