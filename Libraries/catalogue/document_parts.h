#pragma once

#include "base/result.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::catalogue {

/// Largest part, so that 890 changes a day fit in the transfer bound of a daemon.
inline constexpr std::size_t maximum_part_bytes = 64 * 1024;
/// Largest joined document; the catalogue of the target size has about 5 MB.
inline constexpr std::size_t maximum_joined_bytes = 16 * 1024 * 1024;

/// One part as named in an index.
struct part_reference {
    std::string sha256;
    std::uint32_t bytes{0};
};

/// What a publication consists of: the parts in the order of the document.
struct document_index {
    std::uint64_t revision{0};
    /// Digest of the joined document.
    std::string sha256;
    std::vector<part_reference> parts;
};

struct split_document {
    document_index index;
    std::vector<std::string> parts;
};

/// Cuts a document at list items chosen by their content, so that a change moves no other cut.
split_document split(std::string_view document, std::uint64_t revision);

/// Whether a part has the size and digest that the index names.
bool verify_part(part_reference const& reference, std::string_view part);

/// Joins the parts of an index. Fails with invalid_configuration when a part or the whole does not match the index.
base::result<std::string> join(document_index const& index, std::vector<std::string> const& parts);

/// Positions of the parts of `newer` that `older` does not have.
std::vector<std::size_t> changed_parts(document_index const& older, document_index const& newer);

/// The YAML form of an index, and its strict reader.
std::string write_index(document_index const& index);
base::result<document_index> read_index(std::string const& text, std::string const& source);

} // namespace cyclamenledge::catalogue
