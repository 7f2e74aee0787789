#include "log/event_kind.h"

#include <array>

namespace cyclamenledge::log {

namespace {

using enum event_kind;
using enum severity;

constexpr std::array<event_definition, event_kind_count> definitions{{
    {process_started, 101, info, "process_started"},
    {process_draining, 102, info, "process_draining"},
    {process_drained, 103, info, "process_drained"},
    {process_failed, 104, severity::error, "process_failed"},
    {reload_ignored, 105, info, "reload_ignored"},
    {configuration_applied, 201, info, "configuration_applied"},
    {configuration_rejected, 202, severity::error, "configuration_rejected"},
    {configuration_conflict, 203, severity::error, "configuration_conflict"},
    {configuration_source_lost, 204, warning, "configuration_source_lost"},
    {configuration_source_found, 205, info, "configuration_source_found"},
    {store_lost, 206, warning, "store_lost"},
    {store_regained, 207, info, "store_regained"},
    {store_history_lost, 208, info, "store_history_lost"},
    {failure_domain_evacuated, 209, info, "failure_domain_evacuated"},
    {failure_domain_returned, 210, info, "failure_domain_returned"},
    {organisation_ignored, 211, warning, "organisation_ignored"},
    {store_listing_incomplete, 212, warning, "store_listing_incomplete"},
    {link_up, 301, info, "link_up"},
    {link_down, 302, warning, "link_down"},
    {link_suspect, 303, warning, "link_suspect"},
    {link_refused, 304, warning, "link_refused"},
    {frame_invalid, 305, warning, "frame_invalid"},
    {partition_suspected, 306, warning, "partition_suspected"},
    {generation_resumed, 401, info, "generation_resumed"},
    {generation_rerun, 402, info, "generation_rerun"},
    {event_kind::generation_lost, 403, warning, "generation_lost"},
    {answer_dropped, 404, debug, "answer_dropped"},
    {key_recovery_started, 501, info, "key_recovery_started"},
    {key_unknown, 502, warning, "key_unknown"},
    {key_refused, 503, info, "key_refused"},
    {target_unreachable, 601, warning, "target_unreachable"},
    {target_reachable, 602, info, "target_reachable"},
    {target_restarted, 603, warning, "target_restarted"},
    {target_ejected, 604, warning, "target_ejected"},
    {target_out_of_service, 605, info, "target_out_of_service"},
    {target_in_service, 606, info, "target_in_service"},
    {model_order_sent, 607, info, "model_order_sent"},
    {model_order_failed, 608, warning, "model_order_failed"},
    {target_seen, 609, info, "target_seen"},
    {target_leaving, 610, info, "target_leaving"},
    {target_removed, 611, info, "target_removed"},
    {target_ignored, 612, warning, "target_ignored"},
    {target_health_changed, 613, warning, "target_health_changed"},
    {target_crashed, 614, warning, "target_crashed"},
    {crash_recorded, 701, warning, "crash_recorded"},
    {poison_refused, 702, warning, "poison_refused"},
    {caller_input_refused, 801, info, "caller_input_refused"},
    {organisation_held_back, 802, info, "organisation_held_back"},
    {request_placed, 811, info, "request_placed"},
    {request_waits, 812, info, "request_waits"},
    {request_refused, 813, info, "request_refused"},
    {request_sent_again, 814, info, "request_sent_again"},
    {request_finished, 815, info, "request_finished"},
    {request_failed, 816, warning, "request_failed"},
    {request_cancelled, 817, info, "request_cancelled"},
    {stream_copied, 818, info, "stream_copied"},
    {stream_switched, 819, info, "stream_switched"},
    {stream_copy_failed, 820, warning, "stream_copy_failed"},
    {stream_recovered, 821, warning, "stream_recovered"},
    {lines_dropped, 822, warning, "lines_dropped"},
    {place_refused, 823, info, "place_refused"},
    {stream_started, 824, info, "stream_started"},
    {target_limit_changed, 615, info, "target_limit_changed"},
    {permit_issuer_unresponsive, 616, warning, "permit_issuer_unresponsive"},
    {permit_issuer_responsive, 617, info, "permit_issuer_responsive"},
    {store_restored, 211, warning, "store_restored"},
    {target_outdated, 618, info, "target_outdated"},
    {target_hold_off, 619, info, "target_hold_off"},
    {request_cut_off, 825, warning, "request_cut_off"},
    {stream_taken_up, 826, info, "stream_taken_up"},
    {target_failing, 620, warning, "target_failing"},
    {target_recovered, 621, info, "target_recovered"},
    {run_sent, 827, info, "run_sent"},
    {run_ended, 828, info, "run_ended"},
    {run_stopped, 829, info, "run_stopped"},
    {run_stated, 831, info, "run_stated"},
    {connection_end_judged, 830, info, "connection_end_judged"},
}};

} // namespace

event_definition const& definition_of(event_kind kind) {
    return definitions.at(static_cast<std::size_t>(kind));
}

std::span<event_definition const> all_events() {
    return definitions;
}

} // namespace cyclamenledge::log
