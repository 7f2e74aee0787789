#include "forwarding_entry/stream_registry.h"

#include "forwarding_entry/stream_exchange.h"

namespace cyclamenledge::forwarding_entry {

void stream_registry::add(stream_exchange& stream) {
    streams_.push_back(stream);
}

void stream_registry::on_fleet_change() {
    for (auto position = streams_.begin(); position != streams_.end();) {
        // A stream may remove itself from the list during its notification.
        auto& stream = static_cast<stream_exchange&>(*position);
        ++position;
        stream.on_fleet_change();
    }
}

std::size_t stream_registry::size() const {
    return streams_.size();
}

} // namespace cyclamenledge::forwarding_entry
