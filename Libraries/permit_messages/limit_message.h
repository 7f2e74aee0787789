#pragma once

#include "forwarding/permit_issuer.h"
#include "wire/generated/wire_generated.h"

namespace cyclamenledge::permit_messages {

/// A limit of a target as it is sent to another process, with its age in place of a time of this process's clock.
wire::schema::LimitObservationT encode_limit(forwarding::target_incarnation const& target,
                                             forwarding::limit_observation const& limit, base::time_point now);
forwarding::permit_issuer::known_limit decode_limit(wire::schema::LimitObservationT const& message,
                                                    base::time_point now);

} // namespace cyclamenledge::permit_messages
