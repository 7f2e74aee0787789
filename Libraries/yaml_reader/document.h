#pragma once

#include "yaml_reader/diagnostic.h"
#include "yaml_reader/node.h"

#include <cstddef>
#include <optional>
#include <string>

namespace cyclamenledge::yaml_reader {

/// Largest document. The configuration service holds values of up to 1 MB.
inline constexpr std::size_t maximum_document_bytes = 1024 * 1024;
/// Documents of real use have at least this many bytes for each value and each flow indicator, one of "[]{},". The
/// parser holds about 250 bytes for each token of a flow collection, so denser documents could need 250 MB.
inline constexpr std::size_t fewest_bytes_per_value = 8;
/// Deepest nesting of lists and maps; the deepest document in use has 5 levels.
inline constexpr std::size_t maximum_nesting = 16;

/// Parses one YAML document without anchors, aliases, tags, duplicate keys or control characters. Returns nothing and
/// adds an error when the text is not such a document.
std::optional<node> parse_document(std::string const& text, diagnostics& errors,
                                   std::size_t maximum_bytes = maximum_document_bytes);

} // namespace cyclamenledge::yaml_reader
