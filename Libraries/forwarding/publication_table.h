#pragma once

#include "forwarding/publication.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenledge::forwarding {

/// A complete listing of the documents of some kinds at a revision.
struct publication_listing {
    std::vector<publication_kind> kinds;
    std::uint64_t as_of{0};
    std::vector<publication> items;
};

/// The newest known version of every published document. Never goes back to an older revision, whatever the order in
/// which the metadata store and peers deliver them.
class publication_table {
public:
    /// Takes a change. Returns whether it is newer than what is known.
    bool apply(publication change);
    /// Takes a complete listing: documents that it lacks and that are not newer have been removed.
    /// Returns the changes.
    std::vector<publication> reconcile(publication_listing listing);
    /// Every change after the revision, removals included, in ascending order of revision.
    std::vector<publication> since(std::uint64_t revision) const;

    publication const* find(publication_kind kind, std::string const& name) const;
    /// The newest revision seen.
    std::uint64_t newest() const { return newest_; }

private:
    using key = std::pair<publication_kind, std::string>;

    std::map<key, publication> items_;
    std::uint64_t newest_{0};
};

} // namespace cyclamenledge::forwarding
