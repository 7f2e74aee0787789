#include "yaml_reader/diagnostic.h"

#include <algorithm>
#include <tuple>

namespace cyclamenledge::yaml_reader {

std::string to_text(diagnostic const& item) {
    return item.file + ":" + std::to_string(item.at.line) + ":" + std::to_string(item.at.column) + ": " +
           (item.path.empty() ? "document" : item.path) + ": found " + item.found + "; allowed: " + item.allowed;
}

void diagnostics::add(place at, std::string path, std::string found, std::string allowed) {
    if (items_.size() < maximum_diagnostics)
        items_.push_back({file_, at, std::move(path), std::move(found), std::move(allowed)});
}

std::unordered_set<std::string> diagnostics::paths() const {
    std::unordered_set<std::string> result;
    for (auto const& item : items_)
        result.insert(item.path);
    return result;
}

std::vector<diagnostic> diagnostics::take() {
    std::ranges::stable_sort(items_, {}, [](auto const& item) { return std::tuple(item.at.line, item.at.column); });
    return std::move(items_);
}

} // namespace cyclamenledge::yaml_reader
