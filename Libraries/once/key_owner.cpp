#include "once/key_owner.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::once {

key_owner::key_owner(std::vector<catalogue::key_owner_set> sets, key_limits limits)
    : sets_(std::move(sets))
    , limits_(limits) {}

key_ownership key_owner::owners_of(std::string_view organisation, idempotency_key const& key, base::wall_time now,
                                   std::vector<absent_owner> const& absent) const {
    key_ownership owners;
    auto const scoped = scoped_key(organisation, key);
    auto const end =
        std::find_if(sets_.begin(), sets_.end(), [now](auto const& candidate) { return candidate.from > now; });
    if (end == sets_.begin())
        return owners;
    owners.current = owner_in_set(*(end - 1), scoped);

    // An agent that did not receive the next owner set keeps running new keys for maximum_configuration_age, and a key
    // that ran then can be used for another key_lifetime. The margin covers the clock errors of both agents.
    auto const oldest = now - limits_.key_lifetime - limits_.maximum_configuration_age - limits_.creation_margin();
    for (auto set = sets_.begin(); set + 1 != end; ++set) {
        if ((set + 1)->from < oldest)
            continue;
        auto owner = owner_in_set(*set, scoped);
        if (owner.empty() || owner == owners.current || cannot_have_run(owner, key, absent) ||
            std::find(owners.earlier.begin(), owners.earlier.end(), owner) != owners.earlier.end())
            continue;
        owners.earlier.push_back(std::move(owner));
    }
    return owners;
}

std::string key_owner::owner_in_set(catalogue::key_owner_set const& set, std::string_view scoped) const {
    std::string const* best = nullptr;
    std::uint64_t best_score = 0;
    for (auto const& target : set.targets) {
        auto const score = base::rendezvous_score(scoped, target);
        // Equal scores are ordered by name, so that the result does not depend on the order within the set.
        if (best == nullptr ||
            std::pair(score, std::string_view(target)) > std::pair(best_score, std::string_view(*best))) {
            best = &target;
            best_score = score;
        }
    }
    return best == nullptr ? std::string{} : *best;
}

bool key_owner::cannot_have_run(std::string const& target, idempotency_key const& key,
                                std::vector<absent_owner> const& absent) const {
    auto const absence =
        std::find_if(absent.begin(), absent.end(), [&target](auto const& owner) { return owner.target == target; });
    return absence != absent.end() && key.created() &&
           *key.created() > absence->first_absent + limits_.creation_margin();
}

} // namespace cyclamenledge::once
