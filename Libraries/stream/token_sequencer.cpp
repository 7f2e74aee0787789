#include "stream/token_sequencer.h"

#include <algorithm>

namespace cyclamenledge::stream {

bool token_sequencer::is_other_generation(generation_number generation) {
    if (generation == generation_ || !switches_.check_generation)
        return false;
    ++counters_.other_generation_frames;
    return true;
}

sequence_result token_sequencer::accept(generation_number generation, std::uint64_t first, std::uint64_t count) {
    if (is_other_generation(generation))
        return {sequence_verdict::other_generation, 0, 0};
    if (first > next_index_ && switches_.detect_gaps) {
        ++counters_.gaps;
        return {sequence_verdict::gap, 0, 0};
    }
    auto const already_delivered = first < next_index_ ? next_index_ - first : 0;
    auto const skip = switches_.drop_duplicates ? std::min(already_delivered, count) : 0;
    counters_.duplicate_tokens += skip;
    next_index_ += count - skip;
    auto const only_duplicates = skip == count && count > 0;
    return {only_duplicates ? sequence_verdict::duplicate : sequence_verdict::accepted, skip, count - skip};
}

sequence_verdict token_sequencer::finish(generation_number generation, std::uint64_t count) {
    if (is_other_generation(generation))
        return sequence_verdict::other_generation;
    if (count > next_index_) {
        ++counters_.gaps;
        return sequence_verdict::gap;
    }
    return sequence_verdict::accepted;
}

bool token_sequencer::restart(generation_number generation) {
    if (next_index_ > 0)
        return false;
    generation_ = generation;
    return true;
}

} // namespace cyclamenledge::stream
