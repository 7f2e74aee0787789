#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::yaml_reader {

/// Position in a document; both numbers count from 1.
struct place {
    std::uint32_t line{1};
    std::uint32_t column{1};
};

enum class node_kind : std::uint8_t { null, scalar, sequence, map };

struct member;

/// A value of a parsed document.
struct node {
    node_kind kind{node_kind::null};
    /// Whether a scalar was written without quotes.
    bool plain{true};
    place at;
    std::string text;
    std::vector<node> items;
    std::vector<member> members;

    /// The value of a key of a map, or null.
    node const* find(std::string_view key) const;
    /// The deepest existing node on a path such as `targets[3].agent_address`.
    node const& resolve(std::string_view path) const;
    /// What stands here, for error messages.
    std::string describe() const;
};

/// A key of a map with its value.
struct member {
    std::string key;
    place key_at;
    node value;
};

} // namespace cyclamenledge::yaml_reader
