#pragma once

#include <cstdint>

namespace cyclamenledge::stream {

/// Tokens that may be in flight per stream. At 49 ms between tokens this covers a stall of about 3 s.
inline constexpr std::uint32_t window_tokens = 64;
/// Credit is returned in batches, so that flow control adds one small frame per 32 tokens.
inline constexpr std::uint32_t credit_batch_tokens = window_tokens / 2;

/// The sender side of the flow control of a stream. The agent stops reading from the engine while no credit is left.
class token_window {
public:
    std::uint32_t available() const { return credit_; }
    /// Consumes up to `wanted` tokens of credit and returns how many tokens may be sent.
    std::uint32_t consume(std::uint32_t wanted);
    /// Adds returned credit. Returns false, without effect, if the total would exceed the window.
    bool grant(std::uint32_t credit);
    /// Restores the full window for a resumed stream, because frames in flight were lost. Both sides must reset.
    void reset() { credit_ = window_tokens; }

private:
    std::uint32_t credit_{window_tokens};
};

/// The receiver side of the flow control of a stream. Counts delivered tokens and returns their credit in batches.
class credit_return {
public:
    /// Returns the credit to send now, or zero while the batch is not full.
    std::uint32_t on_delivered(std::uint32_t tokens);
    void reset() { unreturned_ = 0; }

private:
    std::uint32_t unreturned_{0};
};

} // namespace cyclamenledge::stream
