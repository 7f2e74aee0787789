#pragma once

#include "yaml_reader/diagnostic.h"
#include "yaml_reader/node.h"
#include "yaml_reader/path.h"

#include <string>
#include <utility>
#include <vector>

namespace cyclamenledge::yaml_reader {

/// A rule that a value of a model breaks. Unlike a diagnostic it has no place, since a model may come from code.
struct violation {
    std::string path;
    std::string found;
    std::string allowed;
};

/// Collects violations, bounded like diagnostics.
class violations {
public:
    void add(path const& at, std::string found, std::string allowed) {
        if (items_.size() < maximum_diagnostics)
            items_.push_back({at.text(), std::move(found), std::move(allowed)});
    }
    std::vector<violation> take() { return std::move(items_); }

private:
    std::vector<violation> items_;
};

/// Adds violations with the places of their paths. A path that already has an error gets no second one.
void add_violations(std::vector<violation> const& found, node const& root, diagnostics& errors);

} // namespace cyclamenledge::yaml_reader
