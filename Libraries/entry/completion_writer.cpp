#include "entry/completion_writer.h"

#include "base/json_text.h"

#include <chrono>
#include <utility>

namespace cyclamenledge::entry {

namespace {

std::string completion_head(std::string const& identifier, std::string const& model) {
    auto const created =
        std::chrono::duration_cast<std::chrono::seconds>(std::chrono::system_clock::now().time_since_epoch());
    return R"({"id":"cmpl-)" + identifier + R"(","object":"text_completion","created":)" +
           std::to_string(created.count()) + R"(,"model":")" + base::escape_json(model) +
           R"(","choices":[{"index":0,"text":")";
}

std::string choice_tail(std::string const& finish_reason) {
    auto const reason = finish_reason.empty() ? "null" : "\"" + base::escape_json(finish_reason) + "\"";
    return R"(","logprobs":null,"finish_reason":)" + reason + "}]";
}

/// One event per token, so that clients see each as it comes.
class event_stream_writer final : public completion_writer {
public:
    event_stream_writer(http::session_pointer client, std::string head)
        : client_(std::move(client))
        , head_(std::move(head)) {}

    http::awaitable_result<void> write_tokens(std::span<std::string const> texts) override {
        BOOST_OUTCOME_CO_TRYV(co_await start());
        std::string events;
        for (auto const& text : texts)
            append(events, text, {});
        co_return co_await client_->send_chunk(std::move(events));
    }

    http::awaitable_result<void> finish(std::string reason) override {
        BOOST_OUTCOME_CO_TRYV(co_await start());
        std::string events;
        append(events, {}, reason);
        events += "data: [DONE]\n\n";
        BOOST_OUTCOME_CO_TRYV(co_await client_->send_chunk(std::move(events)));
        co_return co_await client_->finish_stream();
    }

    http::awaitable_result<void> fail(base::error failure) override {
        if (!started_)
            co_return co_await client_->send(http::make_error_response(failure));
        std::string event = "event: error\ndata: " + base::error_body(failure) + "\n\n";
        BOOST_OUTCOME_CO_TRYV(co_await client_->send_chunk(std::move(event)));
        co_return co_await client_->finish_stream();
    }

private:
    http::awaitable_result<void> start() {
        if (std::exchange(started_, true))
            co_return base::success();
        co_return co_await client_->start_stream("text/event-stream");
    }

    void append(std::string& events, std::string const& text, std::string const& reason) const {
        events += "data: ";
        events += head_;
        events += base::escape_json(text);
        events += choice_tail(reason);
        events += "}\n\n";
    }

    http::session_pointer client_;
    std::string head_;
    bool started_{false};
};

/// Collects the whole text and answers once.
class whole_answer_writer final : public completion_writer {
public:
    whole_answer_writer(http::session_pointer client, std::string head)
        : client_(std::move(client))
        , head_(std::move(head)) {}

    http::awaitable_result<void> write_tokens(std::span<std::string const> texts) override {
        for (auto const& text : texts)
            text_ += text;
        count_ += texts.size();
        co_return base::success();
    }

    http::awaitable_result<void> finish(std::string reason) override {
        auto body = head_ + base::escape_json(text_) + choice_tail(reason) + R"(,"usage":{"completion_tokens":)" +
                    std::to_string(count_) + "}}";
        co_return co_await client_->send(http::make_response(200, "application/json", std::move(body)));
    }

    http::awaitable_result<void> fail(base::error failure) override {
        co_return co_await client_->send(http::make_error_response(failure));
    }

private:
    http::session_pointer client_;
    std::string head_;
    std::string text_;
    std::size_t count_{0};
};

} // namespace

std::unique_ptr<completion_writer> make_completion_writer(http::session_pointer client, bool stream,
                                                          std::string const& identifier, std::string const& model) {
    auto head = completion_head(identifier, model);
    if (stream)
        return std::make_unique<event_stream_writer>(std::move(client), std::move(head));
    return std::make_unique<whole_answer_writer>(std::move(client), std::move(head));
}

} // namespace cyclamenledge::entry
