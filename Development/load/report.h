#pragma once

#include "metrics/accumulators.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace cyclamenledge::load {

/// The 50th, 95th and 99th percentile of a quantity in milliseconds.
class percentiles {
public:
    percentiles();

    void add(double milliseconds);
    boost::json::object to_json() const;

private:
    using set = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::extended_p_square_quantile>>;
    set values_;
    std::uint64_t count_{0};
};

/// What one run has measured.
struct report {
    std::uint64_t sent{0};
    std::uint64_t completed{0};
    std::uint64_t tokens{0};
    std::uint64_t lost_tokens{0};
    std::uint64_t repeated_tokens{0};
    std::uint64_t crossed_tokens{0};
    std::uint64_t broken_streams{0};
    /// Time beyond the stall threshold, summed over all token gaps.
    double stall_milliseconds{0};
    percentiles first_token;
    percentiles token_gap;
    /// Answers with an error before the first token, and error events after it, by kind.
    std::map<std::string, std::uint64_t> refusals;
    std::map<std::string, std::uint64_t> failures;
    std::uint64_t keyed_sent{0};
    std::map<std::string, std::uint64_t> keyed_answers;
    /// Further executions of a key that the service has executed already; negative when it was not asked.
    std::int64_t keyed_duplicates{-1};

    boost::json::object to_json() const;
};

} // namespace cyclamenledge::load
