#include "poison/request_content.h"

namespace cyclamenledge::poison {

std::string request_content::describe_parts() const {
    std::string text;
    for (auto const& part : parts) {
        if (!text.empty())
            text += ',';
        text += part.id + '=' + std::to_string(part.fingerprint);
    }
    return text;
}

} // namespace cyclamenledge::poison
