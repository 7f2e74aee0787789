#include "base/json_text.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

namespace cyclamenledge::base {

std::string escape_json(std::string_view text) {
    auto const quoted = boost::json::serialize(boost::json::string_view{text.data(), text.size()});
    return quoted.substr(1, quoted.size() - 2);
}

} // namespace cyclamenledge::base
