#include "settings/settings_reader.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

/// Stops when a document gives neither a value nor an error with a place.
extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size) { // NOLINT
    std::string const text{reinterpret_cast<char const*>(data), size};
    auto const read = cyclamenledge::settings::check_settings(text, "fuzz");
    if (read.value.has_value() != read.errors.empty())
        std::abort();
    for (auto const& item : read.errors) {
        if (item.at.line == 0 || item.at.column == 0)
            std::abort();
    }
    return 0;
}
