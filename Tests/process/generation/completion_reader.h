#pragma once

#include "support/process/http_client.h"

#include <cstdint>
#include <string>

namespace cyclamenledge::tests {

/// What a caller has received of one streamed completion of the engine stand-in, whose token n is "<tag>:<n> ".
struct completion_result {
    unsigned status{0};
    std::uint32_t tokens{0};
    /// Empty while no end was received.
    std::string finish_reason;
    bool done_marker{false};
    /// Kind of the error event or of the refusal.
    std::string error_kind;
    /// The first token that was lost, repeated, crossed or malformed.
    std::string disorder;
    std::string failure;
    std::chrono::steady_clock::time_point last_token_at{};

    /// Whether every token came once, in order, and the end was received.
    bool complete(std::uint32_t length) const {
        return status == 200 && tokens == length && finish_reason == "stop" && done_marker && disorder.empty();
    }
    std::string describe() const;
};

/// Reads one streamed completion and checks its tokens while they arrive.
class completion_reader {
public:
    completion_reader(boost::asio::any_io_executor const& executor, std::string tag)
        : stream_(executor)
        , tag_(std::move(tag)) {}

    /// Sends the request. The result holds the status, and the error of a refusal.
    boost::asio::awaitable<void> open(std::string address, std::string key, std::uint32_t length);
    /// Reads until this many tokens have arrived or the stream has ended. True when they have arrived.
    boost::asio::awaitable<bool> read_tokens(std::uint32_t count);
    /// Reads until the stream has ended.
    boost::asio::awaitable<void> read_all();
    void close() { stream_.close(); }
    completion_result const& result() const { return result_; }

private:
    void take(process::stream_event const& event);

    process::event_stream stream_;
    std::string tag_;
    completion_result result_;
    bool ended_{false};
};

/// The body of a completion request for a generation of the given length.
std::string completion_body(std::string const& tag, std::uint32_t length, bool stream);

} // namespace cyclamenledge::tests
