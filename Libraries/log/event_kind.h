#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace cyclamenledge::log {

enum class severity : std::uint8_t { debug, info, warning, error };

/// Everything that the daemons log. docs/events.md lists cause and action for each.
enum class event_kind : std::uint8_t {
    process_started,
    process_draining,
    process_drained,
    process_failed,
    reload_ignored,
    configuration_applied,
    configuration_rejected,
    configuration_conflict,
    configuration_source_lost,
    configuration_source_found,
    store_lost,
    store_regained,
    store_history_lost,
    failure_domain_evacuated,
    failure_domain_returned,
    organisation_ignored,
    store_listing_incomplete,
    link_up,
    link_down,
    link_suspect,
    link_refused,
    frame_invalid,
    partition_suspected,
    generation_resumed,
    generation_rerun,
    generation_lost,
    answer_dropped,
    key_recovery_started,
    key_unknown,
    key_refused,
    target_unreachable,
    target_reachable,
    target_restarted,
    target_ejected,
    target_out_of_service,
    target_in_service,
    model_order_sent,
    model_order_failed,
    target_seen,
    target_leaving,
    target_removed,
    target_ignored,
    target_health_changed,
    target_crashed,
    crash_recorded,
    poison_refused,
    caller_input_refused,
    organisation_held_back,
    request_placed,
    request_waits,
    request_refused,
    request_sent_again,
    request_finished,
    request_failed,
    request_cancelled,
    stream_copied,
    stream_switched,
    stream_copy_failed,
    stream_recovered,
    lines_dropped,
    place_refused,
    stream_started,
    target_limit_changed,
    permit_issuer_unresponsive,
    permit_issuer_responsive,
    store_restored,
    target_outdated,
    target_hold_off,
    request_cut_off,
    stream_taken_up,
    target_failing,
    target_recovered,
    run_sent,
    run_ended,
    run_stopped,
    run_stated,
    connection_end_judged,
};
inline constexpr std::size_t event_kind_count = static_cast<std::size_t>(event_kind::connection_end_judged) + 1;

/// Number, level and name of one kind of event.
struct event_definition {
    event_kind kind;
    unsigned number;
    severity level;
    std::string_view name;
};

event_definition const& definition_of(event_kind kind);
std::span<event_definition const> all_events();

} // namespace cyclamenledge::log
