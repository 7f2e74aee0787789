#include "support/process/temporary_folder.h"

#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace cyclamenledge::tests::process {

temporary_folder::temporary_folder() {
    auto name = (std::filesystem::temp_directory_path() / "cyclamenledge-test-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder");
    path_ = name;
}

temporary_folder::~temporary_folder() {
    std::error_code ignored;
    std::filesystem::remove_all(path_, ignored);
}

std::string temporary_folder::write(std::string const& name, std::string_view text) const {
    auto const place = path_ / name;
    auto const fresh = path_ / (name + ".new");
    std::ofstream{fresh, std::ios::binary} << text;
    std::filesystem::rename(fresh, place);
    return place.string();
}

} // namespace cyclamenledge::tests::process
