#pragma once

#include <filesystem>
#include <string>
#include <string_view>

namespace cyclamenledge::tests::process {

/// A folder that is removed with the object.
class temporary_folder {
public:
    temporary_folder();
    ~temporary_folder();
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;

    std::filesystem::path const& path() const { return path_; }
    /// Writes a file through a rename, so that a reader sees the old or the new text. Returns its path.
    std::string write(std::string const& name, std::string_view text) const;

private:
    std::filesystem::path path_;
};

} // namespace cyclamenledge::tests::process
