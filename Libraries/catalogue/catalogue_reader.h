#pragma once

#include "base/result.h"
#include "catalogue/catalogue.h"
#include "yaml_reader/diagnostic.h"
#include "yaml_reader/document.h"

#include <string>
#include <vector>

namespace cyclamenledge::catalogue {

/// Reads and validates a catalogue; fails with invalid_configuration and the first error. `source` names the document
/// in errors. The result depends on the text alone.
base::result<catalogue_pointer> read_catalogue(std::string const& text, std::string const& source);

/// As read_catalogue, with every error. A catalogue that was joined from parts may be larger than one document.
yaml_reader::reading<catalogue_pointer>
check_catalogue(std::string const& text, std::string const& source,
                std::size_t maximum_bytes = yaml_reader::maximum_document_bytes);

/// The path of every key of a catalogue, such as `targets[].name`.
std::vector<std::string> catalogue_keys();

} // namespace cyclamenledge::catalogue
