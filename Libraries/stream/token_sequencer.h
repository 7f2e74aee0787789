#pragma once

#include <cstdint>

namespace cyclamenledge::stream {

/// Number of a generation, unique within the incarnation of the agent that issued it.
using generation_number = std::uint64_t;

enum class sequence_verdict : std::uint8_t { accepted, duplicate, gap, other_generation };

/// Which tokens of a frame to pass on: `take` tokens after the first `skip` ones.
struct sequence_result {
    sequence_verdict verdict{sequence_verdict::accepted};
    std::uint64_t skip{0};
    std::uint64_t take{0};
};

/// What the sequencer has dropped, for the metrics.
struct sequence_counters {
    std::uint64_t duplicate_tokens{0};
    std::uint64_t gaps{0};
    std::uint64_t foreign_frames{0};
};

/// Mechanisms that only mutation checks in tests switch off.
struct sequencer_switches {
    bool drop_duplicates{true};
    bool detect_gaps{true};
    bool check_generation{true};
};

/// Passes on each token of one generation once and in order, for any order of frames.
class token_sequencer {
public:
    explicit token_sequencer(generation_number generation, sequencer_switches switches = {})
        : generation_(generation)
        , switches_(switches) {}

    /// Judges a frame of `count` tokens that starts at index `first`. After a gap the caller resumes from next_index().
    sequence_result accept(generation_number generation, std::uint64_t first, std::uint64_t count);

    /// Whether a generation that ended with `count` tokens has been passed on completely.
    sequence_verdict finish(generation_number generation, std::uint64_t count);

    /// Follows a rerun. Refused once a token has been passed on, because a second generation has other tokens.
    bool restart(generation_number generation);

    generation_number generation() const { return generation_; }
    /// The only index that is accepted next; also the index to resume from.
    std::uint64_t next_index() const { return next_; }
    sequence_counters const& counters() const { return counters_; }

private:
    bool foreign(generation_number generation);

    generation_number generation_;
    std::uint64_t next_{0};
    sequence_counters counters_;
    sequencer_switches switches_;
};

} // namespace cyclamenledge::stream
