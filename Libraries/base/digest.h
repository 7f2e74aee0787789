#pragma once

#include <string>
#include <string_view>

namespace cyclamenledge::base {

/// SHA-256 of text in lower-case hexadecimal.
std::string sha256_hex(std::string_view text);

} // namespace cyclamenledge::base
