#include "yaml_reader/file.h"

#include <fstream>

namespace cyclamenledge::yaml_reader {

base::result<std::string> read_file(std::string const& path, std::size_t maximum_bytes) {
    std::ifstream input{path, std::ios::binary};
    if (!input)
        return base::make_error(base::error_kind::io_failed, path + ": cannot be opened");
    // One byte more than allowed shows that the file is too large, whatever its real size.
    std::string text(maximum_bytes + 1, '\0');
    input.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (input.bad() || (input.fail() && !input.eof()))
        return base::make_error(base::error_kind::io_failed, path + ": cannot be read");
    text.resize(static_cast<std::size_t>(input.gcount()));
    if (text.size() > maximum_bytes) {
        return base::make_error(base::error_kind::invalid_configuration,
                                path + ": larger than " + std::to_string(maximum_bytes) + " bytes");
    }
    return text;
}

} // namespace cyclamenledge::yaml_reader
