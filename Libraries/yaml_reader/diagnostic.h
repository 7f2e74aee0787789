#pragma once

#include "base/result.h"
#include "yaml_reader/node.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

namespace cyclamenledge::yaml_reader {

/// One error of a document.
struct diagnostic {
    std::string file;
    place at;
    /// Such as `targets[3].agent_address`; empty for the document as a whole.
    std::string path;
    std::string found;
    std::string allowed;
};

/// `FILE:LINE:COLUMN: PATH: found ...; allowed: ...`
std::string to_text(diagnostic const& item);

/// Collects the errors of one document.
class diagnostics {
public:
    explicit diagnostics(std::string file)
        : file_(std::move(file)) {}

    void add(place at, std::string path, std::string found, std::string allowed);
    bool empty() const { return items_.empty(); }
    std::unordered_set<std::string> paths() const;
    /// The errors in the order of their places.
    std::vector<diagnostic> take();

private:
    std::string file_;
    std::vector<diagnostic> items_;
};

/// Bounds the memory that a document with an error on every line can use.
inline constexpr std::size_t maximum_diagnostics = 1000;

/// The value of a document, or all of its errors.
template <class Value>
struct reading {
    std::optional<Value> value;
    std::vector<diagnostic> errors;

    /// The value or the first error.
    base::result<Value> to_result() && {
        if (value)
            return std::move(*value);
        return base::make_error(base::error_kind::invalid_configuration, to_text(errors.front()));
    }
};

} // namespace cyclamenledge::yaml_reader
