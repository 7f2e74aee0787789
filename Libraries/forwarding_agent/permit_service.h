#pragma once

#include "forwarding/permit_issuer.h"
#include "link/hub.h"
#include "link/hub_observer.h"

#include <cstddef>

namespace cyclamenledge::forwarding_agent {

/// Answers the entries' requests for permits and tells all entries of limits that one of them has observed. Only the
/// agent that an entry has told passes an observation on, and only to entries, so that none circulates.
class permit_service : private link::hub_observer {
public:
    explicit permit_service(link::hub& hub)
        : hub_(hub) {}

    void start();
    std::size_t size() const { return issuer_.size(); }

private:
    void answer(link::connection& entry, wire::schema::PermitRequestT const& message);
    void observe(link::connection& entry, wire::schema::LimitObservationT const& message);
    void on_connected(link::connection& entry) override;
    void on_disconnected(link::connection&, base::error const&) override {}

    link::hub& hub_;
    forwarding::permit_issuer issuer_;
};

} // namespace cyclamenledge::forwarding_agent
