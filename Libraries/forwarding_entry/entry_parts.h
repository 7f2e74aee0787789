#pragma once

#include "base/byte_budget.h"
#include "base/random.h"
#include "forwarding_entry/blackboard.h"
#include "forwarding_entry/permit_controller.h"
#include "forwarding_entry/placement_controller.h"
#include "forwarding_entry/stream_registry.h"
#include "forwarding_entry/target_connections.h"
#include "forwarding_entry/target_notice_controller.h"
#include "metrics/registry.h"

#include <boost/asio/io_context.hpp>

namespace cyclamenledge::forwarding_entry {

class copy_slot_client;
class crash_detector;
class reservation_client;
class run_witness_client;
class stream_origin_client;

/// References to the components that all exchanges of an entry share.
struct entry_parts {
    boost::asio::io_context& context;
    blackboard& board;
    placement_controller& placements;
    permit_controller& permits;
    target_notice_controller& notices;
    target_connections& connections;
    /// Memory for the unfinished answers of all targets.
    base::byte_budget_pointer answer_memory;
    copy_slot_client& copy_slots;
    reservation_client& reservations;
    stream_registry& streams;
    stream_origin_client& stream_origins;
    poison_control::poison_controller& suspects;
    run_witness_client& witnesses;
    crash_detector& crashes;
    metrics::registry& metrics;
    base::random_source& random;
};

} // namespace cyclamenledge::forwarding_entry
