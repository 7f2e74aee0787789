#pragma once

#include "forwarding/publication.h"

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenledge::forwarding {

/// A listing of the documents of the given kinds at a revision.
struct publication_listing {
    std::vector<publication_kind> kinds;
    store_revision as_of;
    std::vector<publication> items;
    /// Why documents may be missing. Empty for a complete listing.
    std::string gap{};
};

/// The newest received version of every published document. A document is never replaced by an older one, whatever the
/// order in which the metadata store and peers deliver them, and whether or not the store came back from a copy.
class publication_table {
public:
    /// Applies a change. Returns whether it is newer than the stored version.
    bool apply(publication change);
    /// Applies a listing without a gap. Documents that are not in the listing are marked as removed unless they are
    /// newer than it. Returns the changes.
    std::vector<publication> reconcile(publication_listing listing);
    /// Returns the changes after the revision, including removals, in ascending order of revision.
    std::vector<publication> since(store_revision const& revision) const;

    publication const* find(publication_kind kind, std::string const& name) const;
    using key = std::pair<publication_kind, std::string>;
    /// Documents whose last change is from an earlier era.
    std::set<key> known_before(std::uint64_t era) const;
    /// The newest revision received.
    store_revision const& newest() const { return newest_; }

private:
    std::map<key, publication> items_;
    store_revision newest_;
};

} // namespace cyclamenledge::forwarding
