#pragma once

#include "base/result.h"
#include "base/time.h"
#include "catalogue/catalogue.h"

#include <boost/json/object.hpp>

namespace cyclamenledge::agent {

/// What an agent does for its target, which depends on the kind of the target's service.
class target_part {
public:
    target_part() = default;
    target_part(target_part const&) = delete;
    target_part& operator=(target_part const&) = delete;
    virtual ~target_part() = default;

    /// Takes over a catalogue. Called before start and for every new revision.
    virtual base::result<void> apply(catalogue::catalogue_pointer const& published, catalogue::target const& self) = 0;
    virtual void start() = 0;
    /// The target is offered for new work again, as cold.
    virtual void on_return_to_service() = 0;
    /// The catalogue in force was the newest one at this time.
    virtual void on_configuration_confirmed(base::time_point as_of) = 0;
    /// Adds this part to the state dump.
    virtual void dump(boost::json::object& state) const = 0;
};

} // namespace cyclamenledge::agent
