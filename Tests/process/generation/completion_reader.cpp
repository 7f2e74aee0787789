#include "completion_reader.h"

#include "support/process/deployment.h"

#include <boost/json/parse.hpp>

#include <limits>

namespace cyclamenledge::tests {

std::string completion_body(std::string const& tag, std::uint32_t length, bool stream) {
    return R"({"model":"text","prompt":")" + tag + " length=" + std::to_string(length) + R"( ","stream":)" +
           (stream ? "true" : "false") + "}";
}

std::string completion_result::describe() const {
    return "status " + std::to_string(status) + ", tokens " + std::to_string(tokens) + ", finish \"" + finish_reason +
           "\", error \"" + error_kind + "\", disorder \"" + disorder + "\", failure \"" + failure + "\"";
}

boost::asio::awaitable<void> completion_reader::open(std::string address, std::string key, std::uint32_t length) {
    process::http_call call;
    call.method = "POST";
    call.path = "/v1/completions";
    call.headers = process::bearer(key);
    call.body = completion_body(tag_, length, true);
    result_.status = co_await stream_.open(address, call);
    result_.failure = stream_.failure();
    if (result_.status == 200)
        co_return;
    while (co_await stream_.next()) {
    }
    process::http_answer refusal;
    refusal.body = stream_.rest();
    result_.error_kind = refusal.error_kind();
    ended_ = true;
}

boost::asio::awaitable<bool> completion_reader::read_tokens(std::uint32_t count) {
    while (!ended_ && result_.tokens < count) {
        auto const event = co_await stream_.next();
        if (event) {
            take(*event);
            continue;
        }
        ended_ = true;
        result_.failure = stream_.complete() ? "" : "the stream is truncated: " + stream_.failure();
    }
    co_return result_.tokens >= count;
}

boost::asio::awaitable<void> completion_reader::read_all() {
    co_await read_tokens(std::numeric_limits<std::uint32_t>::max());
}

void completion_reader::take(process::stream_event const& event) {
    if (event.data == "[DONE]") {
        result_.done_marker = true;
        return;
    }
    process::http_answer parsed;
    parsed.body = event.data;
    if (event.name == "error") {
        result_.error_kind = parsed.error_kind();
        return;
    }
    auto const fields = parsed.json();
    boost::system::error_code code;
    auto const* choice = fields.find_pointer("/choices/0", code);
    if (choice == nullptr) {
        result_.disorder = "malformed event: " + event.data;
        return;
    }
    if (choice->at("finish_reason").is_string()) {
        result_.finish_reason = choice->at("finish_reason").as_string();
        return;
    }
    auto const expected = tag_ + ":" + std::to_string(result_.tokens) + " ";
    std::string const found{choice->at("text").as_string()};
    if (found != expected && result_.disorder.empty())
        result_.disorder = "expected \"" + expected + "\", received \"" + found + "\"";
    ++result_.tokens;
    result_.last_token_at = std::chrono::steady_clock::now();
}

} // namespace cyclamenledge::tests
