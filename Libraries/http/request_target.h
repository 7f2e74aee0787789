#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace cyclamenledge::http {

/// Builds the target of a request from a path and parameters. Values may hold any bytes: those that could change the
/// meaning of the target are percent-encoded, also "+", which many servers take as a blank.
class request_target {
public:
    /// The path and the names of parameters are those of an interface and are used as they are.
    explicit request_target(std::string path)
        : text_(std::move(path)) {}

    request_target& add(std::string_view name, std::string_view value);
    request_target& add(std::string_view name, std::uint64_t value);
    std::string const& text() const { return text_; }

private:
    std::string text_;
    bool has_parameter_{false};
};

} // namespace cyclamenledge::http
