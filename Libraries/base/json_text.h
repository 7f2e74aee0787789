#pragma once

#include <string>
#include <string_view>

namespace cyclamenledge::base {

/// Escapes text for use between the quotes of a JSON string.
std::string escape_json(std::string_view text);

/// Whether the text is UTF-8, as every JSON text is.
bool is_utf8(std::string_view text);

} // namespace cyclamenledge::base
