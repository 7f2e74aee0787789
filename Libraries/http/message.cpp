#include "http/message.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::http {

namespace {

constexpr std::int64_t milliseconds_per_second = 1000;

}

response make_response(unsigned status, std::string_view content_type, std::string body) {
    response answer;
    answer.version(http_version_1_1);
    answer.result(status);
    answer.set(beast_http::field::content_type, boost::beast::string_view{content_type.data(), content_type.size()});
    answer.body() = std::move(body);
    return answer;
}

response make_error_response(base::error const& failure) {
    auto answer =
        make_response(base::answer_for(failure.kind).http_status, "application/json", base::error_body(failure));
    if (failure.retry_after) {
        // Retry-After has whole seconds; rounding down would invite callers too early.
        auto const whole_seconds =
            (failure.retry_after->count() + milliseconds_per_second - 1) / milliseconds_per_second;
        answer.set(beast_http::field::retry_after, std::to_string(whole_seconds));
    }
    return answer;
}

std::string_view header_value(beast_http::fields const& headers, std::string_view name) {
    auto const found = headers.find(boost::beast::string_view{name.data(), name.size()});
    if (found == headers.end())
        return {};
    auto const value = found->value();
    return {value.data(), value.size()};
}

bool can_be_header_value(std::string_view text) {
    constexpr unsigned char lowest_printable = 0x20;
    constexpr unsigned char delete_byte = 0x7f;
    bool const blank_at_end = !text.empty() && (text.front() == ' ' || text.back() == ' ');
    return !blank_at_end && std::ranges::none_of(text, [](unsigned char letter) {
        return letter < lowest_printable || letter == delete_byte;
    });
}

} // namespace cyclamenledge::http
