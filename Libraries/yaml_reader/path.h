#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace cyclamenledge::yaml_reader {

/// A step on the way to a value. The text is only built for errors, since a large catalogue has 100,000 values.
class path {
public:
    path() = default;
    path(path const* parent, std::string_view key)
        : parent_(parent)
        , key_(key) {}
    path(path const* parent, std::size_t index)
        : parent_(parent)
        , index_(index) {}

    std::string text() const {
        if (parent_ == nullptr)
            return {};
        auto const before = parent_->text();
        if (key_.data() == nullptr)
            return before + "[" + std::to_string(index_) + "]";
        return before.empty() ? std::string{key_} : before + "." + std::string{key_};
    }

private:
    path const* parent_{nullptr};
    std::string_view key_;
    std::size_t index_{0};
};

} // namespace cyclamenledge::yaml_reader
