#pragma once

#include "base/result.h"
#include "yaml_reader/document.h"

#include <string>

namespace cyclamenledge::yaml_reader {

/// Reads a file of at most the given size.
base::result<std::string> read_file(std::string const& path, std::size_t maximum_bytes = maximum_document_bytes);

} // namespace cyclamenledge::yaml_reader
