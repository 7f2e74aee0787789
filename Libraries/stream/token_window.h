#pragma once

#include <cstdint>

namespace cyclamenledge::stream {

/// Tokens that may be under way per stream. At 49 ms between tokens this covers a stall of about 3 s.
inline constexpr std::uint32_t window_tokens = 64;
/// Credit goes back in batches, so that flow control adds one small frame per 32 tokens.
inline constexpr std::uint32_t credit_batch_tokens = window_tokens / 2;

/// Sender side: the agent stops reading from the engine while no credit is left.
class token_window {
public:
    std::uint32_t available() const { return credit_; }
    /// Takes up to `wanted` tokens of credit and returns how many may be sent.
    std::uint32_t take(std::uint32_t wanted);
    /// Adds returned credit. False, without effect, if the total would exceed the window.
    bool grant(std::uint32_t credit);
    /// A resumed stream starts with a full window on both sides, because frames in flight were lost.
    void reset() { credit_ = window_tokens; }

private:
    std::uint32_t credit_{window_tokens};
};

/// Receiver side: counts tokens that the caller has taken and returns credit in batches.
class credit_return {
public:
    /// The credit to send now, or zero while the batch is not full.
    std::uint32_t on_delivered(std::uint32_t tokens);
    void reset() { owed_ = 0; }

private:
    std::uint32_t owed_{0};
};

} // namespace cyclamenledge::stream
