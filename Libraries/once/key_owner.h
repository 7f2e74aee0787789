#pragma once

#include "catalogue/service.h"
#include "once/idempotency_key.h"
#include "once/key_limits.h"

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::once {

/// An owner whose VM has been absent from the VM list for longer than the lag of that list.
struct absent_owner {
    std::string target;
    base::wall_time first_absent{};
};

/// The owners of one key according to one catalogue.
struct key_ownership {
    /// The target that may run the key now. Empty while no owner set is active.
    std::string current;
    /// Other targets that may have run the key, without repetition.
    std::vector<std::string> earlier;
};

/// Derives the owners of keys from the published owner sets of a service.
class key_owner {
public:
    /// The sets must be in ascending order of their start.
    key_owner(std::vector<catalogue::key_owner_set> sets, key_limits limits);

    /// Returns the current and the earlier owners of a key at `now`. Earlier owners that were already absent when the
    /// key was created are omitted, because they cannot have run it.
    key_ownership owners_of(std::string_view organisation, idempotency_key const& key, base::wall_time now,
                            std::vector<absent_owner> const& absent = {}) const;

private:
    std::string owner_in_set(catalogue::key_owner_set const& set, std::string_view scoped) const;
    bool cannot_have_run(std::string const& target, idempotency_key const& key,
                         std::vector<absent_owner> const& absent) const;

    std::vector<catalogue::key_owner_set> sets_;
    key_limits limits_;
};

} // namespace cyclamenledge::once
