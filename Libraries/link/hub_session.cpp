#include "link/hub_session.h"

#include "link/connection.h"
#include "log/logger.h"

namespace cyclamenledge::link {

void hub_session::on_ready(connection& source) {
    log::write(log::event_kind::link_up, {{"peer", source.peer().process}, {"incarnation", source.peer().incarnation}});
    hub_.on_ready(source);
}

void hub_session::on_suspect(connection& source, membership::link_fault fault) {
    log::write(log::event_kind::link_suspect,
               {{"peer", source.peer().process}, {"silent", membership::name_of(fault)}});
    source.close(base::make_error(base::error_kind::link_lost, "the link was silent"));
}

void hub_session::on_closed(connection& source, base::error const& reason) {
    log::write(log::event_kind::link_down, {{"peer", source.peer().process}, {"reason", reason.message}});
    hub_.on_closed(source, reason);
}

} // namespace cyclamenledge::link
