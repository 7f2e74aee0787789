#include "metrics/registry.h"

#include "metrics/accumulators.h"

#include <sstream>

namespace cyclamenledge::metrics {

namespace accumulators = boost::accumulators;

namespace {

constexpr std::array<double, 3> probabilities{0.5, 0.95, 0.99};
constexpr std::string_view name_prefix = "cyclamenledge_";

using accumulator =
    accumulators::accumulator_set<double, accumulators::stats<accumulators::tag::count, accumulators::tag::sum,
                                                              accumulators::tag::extended_p_square_quantile>>;

// The estimator interpolates between its marks, so marks stand around each published quantile.
constexpr std::array<double, 7> marks{0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999};

} // namespace

struct registry::distribution {
    accumulator values{accumulators::extended_p_square_probabilities = marks};
};

registry::registry() {
    for (auto& slot : distributions_)
        slot = std::make_unique<distribution>();
}

registry::~registry() = default;

void registry::observe(distribution_kind kind, double milliseconds) {
    base::ranked_lock const lock{mutex_};
    distributions_[static_cast<std::size_t>(kind)]->values(milliseconds);
}

double registry::quantile(distribution_kind kind, double probability) const {
    base::ranked_lock const lock{mutex_};
    auto const& values = distributions_[static_cast<std::size_t>(kind)]->values;
    if (accumulators::count(values) == 0)
        return 0;
    return accumulators::quantile(values, accumulators::quantile_probability = probability);
}

std::string registry::prometheus_text() const {
    std::ostringstream text;
    for (std::size_t index = 0; index < counter_kind_count; ++index) {
        auto const kind = static_cast<counter_kind>(index);
        auto const& [name, help] = definition_of(kind);
        text << "# HELP " << name_prefix << name << ' ' << help << "\n# TYPE " << name_prefix << name << " counter\n"
             << name_prefix << name << ' ' << value(kind) << '\n';
    }
    base::ranked_lock const lock{mutex_};
    for (std::size_t index = 0; index < distribution_kind_count; ++index) {
        auto const& [name, help] = definition_of(static_cast<distribution_kind>(index));
        auto const& values = distributions_[index]->values;
        auto const count = accumulators::count(values);
        text << "# HELP " << name_prefix << name << ' ' << help << "\n# TYPE " << name_prefix << name << " summary\n";
        for (auto const probability : probabilities) {
            text << name_prefix << name << "{quantile=\"" << probability << "\"} "
                 << (count == 0 ? 0.0
                                : accumulators::quantile(values, accumulators::quantile_probability = probability))
                 << '\n';
        }
        text << name_prefix << name << "_sum " << accumulators::sum(values) << '\n'
             << name_prefix << name << "_count " << count << '\n';
    }
    return text.str();
}

} // namespace cyclamenledge::metrics
