#include "engine_model/machine_pace.h"

#include <cmath>

namespace cyclamenledge::engine_model {

machine_pace::machine_pace(machine_parameters const& parameters, base::time_point now)
    : parameters_(parameters)
    , random_(parameters.seed)
    , slow_since_(parameters.slow_share > 0 ? now + draw_interval() : base::time_point::max()) {}

base::duration machine_pace::draw_interval() {
    auto const mean = base::to_seconds(parameters_.slow_length) * (1 - parameters_.slow_share) / parameters_.slow_share;
    return base::from_seconds(-mean * std::log(1 - random_.unit()));
}

double machine_pace::at(base::time_point now) {
    if (parameters_.slow_share <= 0)
        return parameters_.pace;
    while (now - slow_since_ >= parameters_.slow_length)
        slow_since_ += parameters_.slow_length + draw_interval();
    return now < slow_since_ ? parameters_.pace : parameters_.pace * parameters_.slow_factor;
}

} // namespace cyclamenledge::engine_model
