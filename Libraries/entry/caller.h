#pragma once

#include "base/time.h"
#include "catalogue/catalogue.h"

#include <cstdint>
#include <optional>

namespace cyclamenledge::entry {

/// Who sent a request and what it asks for besides the body. The pointers refer into the catalogue.
struct caller {
    catalogue::catalogue_pointer catalogue;
    catalogue::organisation const* organisation{nullptr};
    catalogue::service const* service{nullptr};
    catalogue::service_class const* service_class{nullptr};
    std::uint32_t priority{0};
    /// Without it the caller waits as long as it takes.
    std::optional<base::time_point> deadline;
};

} // namespace cyclamenledge::entry
