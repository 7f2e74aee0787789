#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <string>
#include <utility>

namespace cyclamenledge::entry {

class limit_controller;

/// The place of an admitted request in its organisation's limits. Its end releases the place.
class limit_ticket : public boost::intrusive_ref_counter<limit_ticket> {
public:
    limit_ticket(limit_controller& owner, std::string organisation)
        : owner_(owner)
        , organisation_(std::move(organisation)) {}
    ~limit_ticket();
    limit_ticket(limit_ticket const&) = delete;
    limit_ticket& operator=(limit_ticket const&) = delete;

    void charge_tokens(std::uint64_t count);

private:
    limit_controller& owner_;
    std::string organisation_;
};

using limit_ticket_pointer = boost::intrusive_ptr<limit_ticket>;

} // namespace cyclamenledge::entry
