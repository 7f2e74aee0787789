#include "process/configuration_status.h"

#include "configuration/publication.h"

namespace cyclamenledge::process {

namespace {

boost::json::object dump_refused(configuration::rejected_revision const& refused) {
    return {{"revision", refused.revision},
            {"digest", configuration::digest_text(refused.digest)},
            {"source", refused.source},
            {"reason", refused.reason}};
}

} // namespace

boost::json::object configuration_status::dump(base::time_point now) const {
    boost::json::object dump;
    dump["revision"] = revision;
    dump["watcher"] = watcher;
    if (revision > 0) {
        dump["digest"] = configuration::digest_text(digest);
        dump["source"] = source;
        dump["age_seconds"] = base::to_seconds(now - since);
    }
    if (last_rejected)
        dump["last_rejected"] = dump_refused(*last_rejected);
    if (last_conflict)
        dump["last_conflict"] = dump_refused(*last_conflict);
    if (!not_applied_by_role.empty())
        dump["not_applied_by_role"] = not_applied_by_role;
    if (service_reachable)
        dump["service_reachable"] = *service_reachable;
    if (!service_failure.empty())
        dump["service_failure"] = service_failure;
    return dump;
}

} // namespace cyclamenledge::process
