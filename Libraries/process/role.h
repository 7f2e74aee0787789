#pragma once

#include "base/result.h"
#include "base/time.h"
#include "catalogue/catalogue.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string_view>

namespace cyclamenledge::process {

/// Interface of a role of the daemon: entry or agent.
class role {
public:
    role() = default;
    role(role const&) = delete;
    role& operator=(role const&) = delete;
    virtual ~role() = default;

    /// Starts the role and listens on its addresses.
    virtual base::result<void> start() = 0;
    /// Refuses new connections from now on. Called during a drain.
    virtual void stop_accepting() = 0;
    /// Ends the connections of callers that wait for a request. Called once every request has ended.
    virtual void end_sessions() {}
    /// Number of connections of callers that have not ended.
    virtual std::uint32_t open_sessions() const { return 0; }
    /// Whether the role can serve requests. False, for example, without a catalogue.
    virtual bool able_to_serve() const = 0;
    /// Activates a newer catalogue. Calls don't overlap and are made outside the event loop, because building the
    /// tables takes long at target size. Fails, and keeps the previous catalogue active, if the newer one doesn't
    /// contain this process.
    virtual base::result<void> apply_catalogue(catalogue::catalogue_pointer const& published) = 0;
    /// Updates the role from the shared member table, which may have changed. Called on a strand several times a
    /// second.
    virtual void on_membership_changed() = 0;
    /// Records that the active catalogue was the newest one at this time, as confirmed by the configuration service to
    /// this process or to a peer. May be called from any thread.
    virtual void on_configuration_confirmed(base::time_point as_of) = 0;
    /// The role's part of the state dump. Must contain no secrets and no content of requests.
    virtual boost::json::object state() const = 0;
    /// Explains why a request of an organisation for a service would be admitted, queued or refused.
    virtual base::result<boost::json::object> explain(std::string_view organisation,
                                                      std::string_view service) const = 0;
};

} // namespace cyclamenledge::process
