#pragma once

#include <string>
#include <string_view>

namespace cyclamenledge::base {

/// Escapes text for use between the quotes of a JSON string.
std::string escape_json(std::string_view text);

/// The text of bytes from outside: the bytes themselves if they are UTF-8. Otherwise those beyond ASCII become the
/// characters of their number, so that the text can stand in JSON.
std::string text_of_bytes(std::string_view bytes);

/// Whether the text is UTF-8, as every JSON text is.
bool is_utf8(std::string_view text);

} // namespace cyclamenledge::base
