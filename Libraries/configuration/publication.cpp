#include "configuration/publication.h"

#include "base/hash.h"

#include <utility>

namespace cyclamenledge::configuration {

part::part(std::string text)
    : text_(std::move(text))
    , digest_(base::hash_text(text_)) {}

std::uint64_t publication_digest(std::string_view document, std::uint64_t revision) {
    return base::hash_text(document, revision);
}

std::string publication::document() const {
    std::size_t bytes = 0;
    for (auto const& piece : parts)
        bytes += piece->text().size();
    std::string document;
    document.reserve(bytes);
    for (auto const& piece : parts)
        document += piece->text();
    return document;
}

publication make_publication(std::uint64_t revision, std::vector<part_pointer> parts) {
    publication result;
    result.parts = std::move(parts);
    result.index.revision = revision;
    for (auto const& piece : result.parts)
        result.index.parts.push_back(piece->digest());
    result.index.digest = publication_digest(result.document(), revision);
    return result;
}

} // namespace cyclamenledge::configuration
