#pragma once

#include "base/result.h"
#include "settings/settings.h"
#include "yaml_reader/diagnostic.h"

#include <string>
#include <vector>

namespace cyclamenledge::settings {

/// Reads and validates settings; fails with invalid_configuration and the first error. `source` names the document in
/// errors.
base::result<process_settings> read_settings(std::string const& text, std::string const& source);

/// As read_settings for a file; fails with io_failed when it cannot be read.
base::result<process_settings> read_settings_file(std::string const& path);

/// As read_settings, with every error.
yaml_reader::reading<process_settings> check_settings(std::string const& text, std::string const& source);

/// The path of every key of settings, such as `limits.body_bytes`.
std::vector<std::string> settings_keys();

} // namespace cyclamenledge::settings
