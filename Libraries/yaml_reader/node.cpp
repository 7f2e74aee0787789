#include "yaml_reader/node.h"

#include "yaml_reader/values.h"

#include <algorithm>
#include <charconv>

namespace cyclamenledge::yaml_reader {

namespace {

/// Removes the first step, `[index]` or `key`, from a path.
std::string_view take_step(std::string_view& path) {
    bool const indexed = path.starts_with('[');
    auto const end = std::min(path.size(), indexed ? path.find(']') : path.find_first_of(".["));
    auto const step = path.substr(0, end);
    path.remove_prefix(std::min(path.size(), end + (indexed ? 1 : 0)));
    if (path.starts_with('.'))
        path.remove_prefix(1);
    return step;
}

node const* child(node const& parent, std::string_view step) {
    if (!step.starts_with('['))
        return parent.find(step);
    std::size_t index = 0;
    auto const parsed = std::from_chars(step.data() + 1, step.data() + step.size(), index);
    return parsed.ec == std::errc{} && index < parent.items.size() ? &parent.items[index] : nullptr;
}

} // namespace

node const* node::find(std::string_view key) const {
    auto const found = std::ranges::find(members, key, &member::key);
    return found == members.end() ? nullptr : &found->value;
}

node const& node::resolve(std::string_view path) const {
    node const* current = this;
    while (!path.empty()) {
        auto const* next = child(*current, take_step(path));
        if (next == nullptr)
            break;
        current = next;
    }
    return *current;
}

std::string node::describe() const {
    switch (kind) {
    case node_kind::null:
        return "nothing";
    case node_kind::sequence:
        return "a list";
    case node_kind::map:
        return "a map";
    case node_kind::scalar:
        break;
    }
    return quote(text);
}

} // namespace cyclamenledge::yaml_reader
