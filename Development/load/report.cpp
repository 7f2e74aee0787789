#include "report.h"

#include <array>

namespace cyclamenledge::load {

namespace {

constexpr std::array<double, 3> probabilities{0.5, 0.95, 0.99};

boost::json::object to_object(std::map<std::string, std::uint64_t> const& counts) {
    boost::json::object result;
    for (auto const& [kind, count] : counts)
        result[kind] = count;
    return result;
}

} // namespace

percentiles::percentiles()
    : values_(boost::accumulators::extended_p_square_probabilities = probabilities) {}

void percentiles::add(double milliseconds) {
    values_(milliseconds);
    ++count_;
}

boost::json::object percentiles::to_json() const {
    boost::json::object result{{"count", count_}};
    constexpr std::array<char const*, 3> names{"p50", "p95", "p99"};
    for (std::size_t index = 0; index < names.size(); ++index) {
        auto const value =
            boost::accumulators::quantile(values_, boost::accumulators::quantile_probability = probabilities.at(index));
        if (count_ > 0)
            result[names.at(index)] = value;
    }
    return result;
}

boost::json::object report::to_json() const {
    return {{"sent", sent},
            {"completed", completed},
            {"tokens", tokens},
            {"lost_tokens", lost_tokens},
            {"repeated_tokens", repeated_tokens},
            {"crossed_tokens", crossed_tokens},
            {"broken_streams", broken_streams},
            {"stall_ms", stall_milliseconds},
            {"first_token_ms", first_token.to_json()},
            {"token_gap_ms", token_gap.to_json()},
            {"refusals", to_object(refusals)},
            {"failures", to_object(failures)},
            {"keyed_sent", keyed_sent},
            {"keyed_answers", to_object(keyed_answers)},
            {"keyed_duplicates", keyed_duplicates}};
}

} // namespace cyclamenledge::load
