#include "permit_messages/limit_message.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cyclamenledge::permit_messages {

wire::schema::LimitObservationT encode_limit(forwarding::target_incarnation const& target,
                                             forwarding::limit_observation const& limit, base::time_point now) {
    wire::schema::LimitObservationT message;
    message.target = target.id;
    message.started_at = target.started_at;
    message.limited = limit.per_second.has_value();
    message.per_second = limit.per_second.value_or(0);
    auto const age = std::chrono::duration_cast<base::milliseconds>(now - limit.observed_at).count();
    message.age_ms =
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(age, 0, std::numeric_limits<std::uint32_t>::max()));
    return message;
}

forwarding::permit_issuer::known_limit decode_limit(wire::schema::LimitObservationT const& message,
                                                    base::time_point now) {
    forwarding::permit_issuer::known_limit known{{message.target, message.started_at}, {}};
    known.limit.observed_at = now - base::milliseconds{message.age_ms};
    if (message.limited && std::isfinite(message.per_second))
        known.limit.per_second = std::max(0.0, message.per_second);
    return known;
}

} // namespace cyclamenledge::permit_messages
