#pragma once

#include "settings/settings.h"
#include "yaml_reader/finding.h"

#include <vector>

namespace cyclamenledge::settings {

/// All findings about valid settings. The result depends on the settings alone.
std::vector<yaml_reader::finding> review(process_settings const& subject);

} // namespace cyclamenledge::settings
