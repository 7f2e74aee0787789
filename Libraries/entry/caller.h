#pragma once

#include "base/time.h"
#include "catalogue/catalogue.h"
#include "entry/limit_ticket.h"

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
    /// Set when the request has passed the limits of its organisation.
    limit_ticket_pointer ticket;
};

} // namespace cyclamenledge::entry
