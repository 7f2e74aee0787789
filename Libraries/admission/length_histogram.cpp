#include "admission/length_histogram.h"

#include <algorithm>
#include <bit>
#include <limits>

namespace cyclamenledge::admission {

std::size_t length_histogram::bucket_of(std::uint32_t length) {
    if (length < 8)
        return length;
    auto const octave = static_cast<std::size_t>(std::bit_width(length)) - 1;
    auto const quarter = (length >> (octave - 2)) & 3U;
    return std::min(bucket_count - 1, 8 + (octave - 3) * 4 + quarter);
}

double length_histogram::lower_edge(std::size_t bucket) {
    if (bucket < 8)
        return static_cast<double>(bucket);
    auto const octave = (bucket - 8) / 4 + 3;
    auto const quarter = (bucket - 8) % 4;
    return static_cast<double>(std::uint64_t{4 + quarter} << (octave - 2));
}

void length_histogram::observe(std::uint32_t length, std::uint32_t halve_at) {
    if (halve_at != 0 && total_ >= halve_at * unit) {
        total_ = 0;
        for (auto& count : counts_) {
            count = static_cast<std::uint16_t>(count / 2);
            total_ += count;
        }
    }
    auto& count = counts_[bucket_of(length)];
    if (count > std::numeric_limits<std::uint16_t>::max() - unit)
        return;
    count = static_cast<std::uint16_t>(count + unit);
    total_ += unit;
}

std::optional<double> length_histogram::quantile_above(std::uint32_t above, double q, double minimum) const {
    auto const first = above == 0 ? 0 : bucket_of(above);
    auto const lower = lower_edge(first);
    // Lengths are assumed to be uniform within a bucket. Only the part of the first bucket above the length counts.
    auto const first_bucket_share =
        above == 0 ? 1.0
                   : std::clamp((lower_edge(first + 1) - 1.0 - above) / (lower_edge(first + 1) - lower), 0.0, 1.0);
    auto tail = static_cast<double>(total_);
    if (above != 0) {
        tail = counts_[first] * first_bucket_share;
        for (auto bucket = first + 1; bucket < bucket_count; ++bucket)
            tail += counts_[bucket];
    }
    if (tail < minimum * unit || tail <= 0)
        return std::nullopt;
    auto remaining_weight = q * tail;
    for (auto bucket = first; bucket < bucket_count; ++bucket) {
        auto const weight = counts_[bucket] * (bucket == first ? first_bucket_share : 1.0);
        if (weight >= remaining_weight && weight > 0) {
            auto const lower_bound = bucket == first ? std::max<double>(above, lower) : lower_edge(bucket);
            return lower_bound + (lower_edge(bucket + 1) - lower_bound) * remaining_weight / weight;
        }
        remaining_weight -= weight;
    }
    return lower_edge(bucket_count);
}

} // namespace cyclamenledge::admission
