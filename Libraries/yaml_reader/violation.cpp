#include "yaml_reader/violation.h"

#include <unordered_set>

namespace cyclamenledge::yaml_reader {

void add_violations(std::vector<violation> const& found, node const& root, diagnostics& errors) {
    auto const before = errors.paths();
    for (auto const& item : found) {
        if (!before.contains(item.path))
            errors.add(root.resolve(item.path).at, item.path, item.found, item.allowed);
    }
}

} // namespace cyclamenledge::yaml_reader
