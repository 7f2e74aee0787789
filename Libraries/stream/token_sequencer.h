#pragma once

#include <cstdint>

namespace cyclamenledge::stream {

/// Number of a generation, unique within the incarnation of the agent that issued it.
using generation_number = std::uint64_t;

enum class sequence_verdict : std::uint8_t { accepted, duplicate, gap, other_generation };

/// The tokens of a frame to deliver: `deliver` tokens after the first `skip` ones.
struct sequence_result {
    sequence_verdict verdict{sequence_verdict::accepted};
    std::uint64_t skip{0};
    std::uint64_t deliver{0};
};

/// Numbers of tokens and frames that the sequencer dropped.
struct sequence_counters {
    std::uint64_t duplicate_tokens{0};
    std::uint64_t gaps{0};
    std::uint64_t other_generation_frames{0};
};

/// Mechanisms that are disabled only by mutation checks in tests.
struct sequencer_switches {
    bool drop_duplicates{true};
    bool detect_gaps{true};
    bool check_generation{true};
};

/// Selects the tokens to deliver so that each token of one generation is delivered once and in order, for any order and
/// repetition of frames.
class token_sequencer {
public:
    explicit token_sequencer(generation_number generation, sequencer_switches switches = {})
        : generation_(generation)
        , switches_(switches) {}

    /// Processes a frame of `count` tokens that starts at index `first`. After a gap the caller of this function must
    /// resume the generation from next_index().
    sequence_result accept(generation_number generation, std::uint64_t first, std::uint64_t count);

    /// Checks that all tokens of a generation that ended with `count` tokens have been delivered.
    sequence_verdict finish(generation_number generation, std::uint64_t count);

    /// Switches to the generation of a rerun. Returns false once a token has been delivered, because the second
    /// generation has other tokens.
    bool restart(generation_number generation);

    generation_number generation() const { return generation_; }
    /// The index of the next token to deliver, and the index to resume from.
    std::uint64_t next_index() const { return next_index_; }
    sequence_counters const& counters() const { return counters_; }

private:
    bool is_other_generation(generation_number generation);

    generation_number generation_;
    std::uint64_t next_index_{0};
    sequence_counters counters_;
    sequencer_switches switches_;
};

} // namespace cyclamenledge::stream
