#pragma once

#include "base/time.h"
#include "configuration/revision_store.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenledge::process {

/// State of the configuration of this process for the state dump.
struct configuration_status {
    std::uint64_t revision{0};
    std::uint64_t digest{0};
    /// The peer that offered the publication, "service" or "file".
    std::string source;
    base::time_point since{};
    std::optional<configuration::rejected_revision> last_rejected;
    std::optional<configuration::rejected_revision> last_conflict;
    /// Why the role still uses an earlier catalogue, for example because the newest one doesn't contain this process.
    std::string not_applied_by_role;
    std::optional<bool> service_reachable;
    /// Why the configuration service counts as unreachable. "stale" if it returns an older revision.
    std::string service_failure;
    bool watcher{false};

    boost::json::object dump(base::time_point now) const;
};

} // namespace cyclamenledge::process
