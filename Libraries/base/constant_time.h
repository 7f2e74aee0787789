#pragma once

#include <string_view>

namespace cyclamenledge::base {

/// Compares two secrets in a time that depends only on their lengths.
bool equal_secrets(std::string_view left, std::string_view right);

} // namespace cyclamenledge::base
