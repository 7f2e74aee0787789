#include "forwarding/publication_table.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cyclamenledge::forwarding {

bool publication_table::apply(publication change) {
    newest_ = std::max(newest_, change.revision);
    auto const [found, inserted] = items_.try_emplace({change.kind, change.name});
    auto& known = found->second;
    if (!inserted && std::tie(known.version, known.revision) >= std::tie(change.version, change.revision))
        return false;
    known = std::move(change);
    return true;
}

std::vector<publication> publication_table::reconcile(publication_listing listing) {
    std::vector<publication> changes;
    std::set<key> listed;
    for (auto& item : listing.items) {
        listed.emplace(item.kind, item.name);
        if (apply(item))
            changes.push_back(std::move(item));
    }
    newest_ = std::max(newest_, listing.as_of);
    for (auto& [name, item] : items_) {
        bool const covered = std::ranges::find(listing.kinds, item.kind) != listing.kinds.end();
        // The last configuration stays, because nothing can be served without one.
        bool const kept = item.kind == publication_kind::configuration;
        if (!covered || kept || item.removed || listed.contains(name) || item.revision > listing.as_of)
            continue;
        item.removed = true;
        item.revision = listing.as_of;
        item.text.clear();
        changes.push_back(item);
    }
    return changes;
}

std::vector<publication> publication_table::since(store_revision const& revision) const {
    std::vector<publication> changes;
    for (auto const& [name, item] : items_) {
        if (item.revision > revision)
            changes.push_back(item);
    }
    std::ranges::sort(changes, {}, &publication::revision);
    return changes;
}

std::set<publication_table::key> publication_table::known_before(std::uint64_t era) const {
    std::set<key> known;
    for (auto const& [name, item] : items_) {
        if (item.revision.era < era)
            known.insert(name);
    }
    return known;
}

publication const* publication_table::find(publication_kind kind, std::string const& name) const {
    auto const found = items_.find({kind, name});
    return found == items_.end() ? nullptr : &found->second;
}

} // namespace cyclamenledge::forwarding
