#include "yaml_reader/finding.h"

#include <algorithm>
#include <tuple>

namespace cyclamenledge::yaml_reader {

void locate(std::vector<finding>& found, node const& root) {
    for (auto& item : found)
        item.at = root.resolve(item.path).at;
    std::ranges::stable_sort(found, {}, [](finding const& item) { return std::tuple(item.at.line, item.at.column); });
}

std::string to_text(finding const& item, std::string const& file) {
    return file + ":" + std::to_string(item.at.line) + ":" + std::to_string(item.at.column) + ": " + item.path +
           ": warning: found " + item.found + "; advice: " + item.advice;
}

} // namespace cyclamenledge::yaml_reader
