#pragma once

#include "settings/settings.h"
#include "yaml_reader/violation.h"

#include <vector>

namespace cyclamenledge::settings {

/// All violations of the rules between and within settings.
std::vector<yaml_reader::violation> validate(process_settings const& settings);

} // namespace cyclamenledge::settings
