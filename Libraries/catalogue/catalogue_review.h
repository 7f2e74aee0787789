#pragma once

#include "catalogue/catalogue.h"
#include "yaml_reader/finding.h"

#include <vector>

namespace cyclamenledge::catalogue {

/// All findings, in the order of the sections. The result depends on the catalogue alone: neither the time nor the
/// state of processes counts, so a target that is out of service is taken to stay out.
std::vector<yaml_reader::finding> review(catalogue const& subject);

} // namespace cyclamenledge::catalogue
