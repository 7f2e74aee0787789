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

/// The owners of one key as one catalogue publishes them.
struct key_ownership {
    /// Empty when no owner set holds yet.
    std::string current;
    /// Other targets that may have run the key, without repetition.
    std::vector<std::string> earlier;
};

/// Derives the owners of keys from the published owner sets of a service.
class key_owner {
public:
    /// Sets must be in ascending order of their time.
    key_owner(std::vector<catalogue::key_owner_set> sets, key_limits limits);

    /// Earlier owners that are absent are left out for keys that were created after they had gone.
    key_ownership owners_of(std::string_view organisation, idempotency_key const& key, base::wall_time now,
                            std::vector<absent_owner> const& absent = {}) const;

private:
    std::string owner_in(catalogue::key_owner_set const& set, std::string_view scoped) const;
    bool cannot_have_run(std::string const& target, idempotency_key const& key,
                         std::vector<absent_owner> const& absent) const;

    std::vector<catalogue::key_owner_set> sets_;
    key_limits limits_;
};

} // namespace cyclamenledge::once
