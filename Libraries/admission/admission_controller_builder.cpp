#include "admission/admission_controller_builder.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::admission {

admission_controller_builder& admission_controller_builder::limits(target_limits const& limits) {
    limits_ = limits;
    return *this;
}

admission_controller_builder& admission_controller_builder::classes(std::vector<catalogue::service_class> classes) {
    classes_ = std::move(classes);
    return *this;
}

admission_controller_builder& admission_controller_builder::default_length(std::uint32_t tokens) {
    lengths_.default_length = tokens;
    return *this;
}

admission_controller_builder& admission_controller_builder::maximum_histograms(std::size_t count) {
    lengths_.maximum_histograms = count;
    return *this;
}

admission_controller_builder& admission_controller_builder::disable_for_ablation(mechanism part) {
    disabled_.add(part);
    return *this;
}

base::result<admission_controller> admission_controller_builder::build(base::time_point now) const {
    using base::error_kind;
    if (limits_.memory_tokens == 0 || limits_.maximum_running == 0 || limits_.warmup_floor == 0)
        return base::make_error(error_kind::invalid_configuration,
                                "memory_tokens, maximum_running and warmup_floor of a target must be above zero");
    if (classes_.empty())
        return base::make_error(error_kind::invalid_configuration, "admission needs at least one service class");
    auto const invalid = [](catalogue::service_class const& each) {
        return each.admission_quantile <= 0 || each.admission_quantile >= 1 || each.token_gap_target.count() <= 0;
    };
    if (std::any_of(classes_.begin(), classes_.end(), invalid))
        return base::make_error(error_kind::invalid_configuration,
                                "admission_quantile must be in (0, 1) and token_gap_target above zero");
    auto lengths = lengths_;
    lengths.ageing = disabled_.is_enabled(mechanism::ageing);
    admission_controller controller(limits_, lengths, disabled_, now);
    controller.apply(classes_);
    return controller;
}

} // namespace cyclamenledge::admission
