#pragma once

#include <boost/intrusive/list.hpp>

namespace cyclamenledge::forwarding_entry {

class stream_exchange;

using stream_hook = boost::intrusive::list_base_hook<boost::intrusive::link_mode<boost::intrusive::auto_unlink>>;

/// The streams that are being served.
class stream_registry {
public:
    void add(stream_exchange& stream);
    /// Notifies every stream that targets have changed.
    void on_fleet_change();
    std::size_t size() const;

private:
    boost::intrusive::list<stream_hook, boost::intrusive::constant_time_size<false>> streams_;
};

} // namespace cyclamenledge::forwarding_entry
