#pragma once

#include "admission/admission_controller.h"
#include "base/result.h"

#include <vector>

namespace cyclamenledge::admission {

class admission_controller_builder {
public:
    admission_controller_builder& limits(target_limits const& limits);
    admission_controller_builder& classes(std::vector<catalogue::service_class> classes);
    /// Output length assumed before any was observed, from the service in the catalogue.
    admission_controller_builder& default_length(std::uint32_t tokens);
    admission_controller_builder& maximum_histograms(std::size_t count);
    /// Disables a mechanism, for tests and the ablation benchmark only.
    admission_controller_builder& disable_for_ablation(mechanism part);

    base::result<admission_controller> build(base::time_point now) const;

private:
    target_limits limits_;
    std::vector<catalogue::service_class> classes_;
    length_predictor_parameters lengths_;
    disabled_mechanisms disabled_;
};

} // namespace cyclamenledge::admission
