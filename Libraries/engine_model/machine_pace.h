#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>

namespace cyclamenledge::engine_model {

/// Speed of the machine that an engine runs on. The defaults are those of a machine of nominal speed without noise.
struct machine_parameters {
    /// How long work takes in relation to the nominal speed.
    double pace{1};
    /// Share of the time that slow phases take up, from 0 to below 1.
    double slow_share{0};
    /// How much longer work takes in a slow phase.
    double slow_factor{2.5};
    base::duration slow_length{base::milliseconds{600}};
    std::uint64_t seed{1};
};

/// Gives the pace of a machine with slow phases that begin at random. Equal calls give equal values.
class machine_pace {
public:
    machine_pace(machine_parameters const& parameters, base::time_point now);

    /// The pace at the time, which does not decrease from call to call.
    double at(base::time_point now);

private:
    /// Exponentially distributed, so that the beginning of a phase does not depend on the phases before.
    base::duration draw_interval();

    machine_parameters parameters_;
    base::random_source random_;
    base::time_point slow_since_;
};

} // namespace cyclamenledge::engine_model
