#include "entry/limit_ticket.h"

#include "entry/limit_controller.h"

namespace cyclamenledge::entry {

limit_ticket::~limit_ticket() {
    owner_.release(organisation_);
}

void limit_ticket::charge_tokens(std::uint64_t count) {
    owner_.charge_tokens(organisation_, count);
}

} // namespace cyclamenledge::entry
