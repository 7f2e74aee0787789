#pragma once

#include "base/result.h"
#include "base/time.h"
#include "catalogue/catalogue.h"

#include <boost/json/object.hpp>

#include <string_view>

namespace cyclamenledge::process {

/// What differs between the roles of the daemon.
class role {
public:
    role() = default;
    role(role const&) = delete;
    role& operator=(role const&) = delete;
    virtual ~role() = default;

    /// Opens the role's addresses and starts its work.
    virtual base::result<void> start() = 0;
    /// The planned stop has reached the point where new connections are refused.
    virtual void stop_accepting() = 0;
    /// False while the role cannot serve, for example without a catalogue.
    virtual bool able_to_serve() const = 0;
    /// Puts a newer catalogue in force. Calls don't overlap and are made outside the event loop, because building
    /// tables takes long at target size. Fails, with the last catalogue still in force, when this process is not
    /// published.
    virtual base::result<void> apply_catalogue(catalogue::catalogue_pointer const& published) = 0;
    /// The shared table of members may have changed. Called on a strand, several times a second.
    virtual void follow_membership() = 0;
    /// The catalogue in force was the newest one at this time, as the configuration service showed it to this process
    /// or to a peer. May be called from any thread.
    virtual void on_configuration_confirmed(base::time_point as_of) = 0;
    /// The state dump. Holds no secret and no content of requests.
    virtual boost::json::object state() const = 0;
    /// Why a request of an organisation for a service would be admitted, queued or refused.
    virtual base::result<boost::json::object> explain(std::string_view organisation,
                                                      std::string_view service) const = 0;
};

} // namespace cyclamenledge::process
