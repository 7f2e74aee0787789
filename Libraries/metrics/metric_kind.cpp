#include "metrics/metric_kind.h"

#include <array>

namespace cyclamenledge::metrics {

namespace {

constexpr std::array<metric_definition, counter_kind_count> counters{{
    {"requests_total", "Requests received"},
    {"answers_ok_total", "Requests answered completely"},
    {"answers_refused_total", "Requests refused without running"},
    {"answers_failed_total", "Requests that ended with an error after they may have run"},
    {"tokens_total", "Tokens passed on"},
    {"retries_total", "Further attempts after a failed or refused one"},
    {"retry_budget_exhausted_total", "Attempts not made because the retry budget was empty"},
    {"hedges_total", "Second attempts of slow idempotent calls"},
    {"resumes_total", "Generations resumed after a lost link"},
    {"reruns_total", "Generations run again before their first token"},
    {"late_answers_dropped_total", "Messages that matched no open attempt"},
    {"frames_received_total", "Frames received from other processes"},
    {"frames_sent_total", "Frames sent to other processes"},
    {"control_bytes_received_total", "Bytes of control frames received"},
    {"control_bytes_sent_total", "Bytes of control frames sent"},
    {"data_bytes_received_total", "Bytes of request and token frames received"},
    {"data_bytes_sent_total", "Bytes of request and token frames sent"},
    {"keyed_calls_run_total", "Non-idempotent calls run at the target"},
    {"keyed_calls_joined_total", "Repeated keys that received the answer of an earlier call"},
    {"keys_sealed_total", "Unseen keys sealed by a query"},
    {"keys_unknown_total", "Keys answered with an unknown outcome"},
    {"poison_refusals_total", "Requests refused because they crashed targets"},
    {"preemptions_total", "Preemptions reported by the engine"},
    {"links_lost_total", "Links to other processes that were lost"},
    {"configuration_applied_total", "Catalogue revisions applied"},
    {"configuration_rejected_total", "Catalogue revisions rejected"},
    {"permits_received_total", "Permits received for targets with a bounded rate"},
    {"permits_refused_total", "Requests for permits that were refused or not answered"},
    {"unpermitted_sends_total", "Requests sent to targets with a bounded rate without a permit"},
    {"paces_ignored_total", "Loads and paces stated by targets that were malformed or implausible"},
    {"refused_without_room_total", "Requests refused because no target was expected to have room in time"},
    {"waits_at_agents_total", "Waits of requests for room at the agent of an engine"},
    {"run_overlaps_total", "Runs of a stream that went on for over 400 ms beside another one"},
    {"stream_order_breaks_total", "Runs whose events or end did not fit to their stream, so that they were given up"},
    {"announcements_ignored_total", "Announcements of targets that could not be used"},
}};

constexpr std::array<metric_definition, distribution_kind_count> distributions{{
    {"first_token_milliseconds", "Time from request to first token"},
    {"token_gap_milliseconds", "Time between two tokens of a stream"},
    {"stall_milliseconds", "Token gaps above the class's target"},
    {"queue_wait_milliseconds", "Time in the queue of an agent"},
    {"call_duration_milliseconds", "Time from a plain call to its answer"},
}};

} // namespace

metric_definition const& definition_of(counter_kind kind) {
    return counters.at(static_cast<std::size_t>(kind));
}

metric_definition const& definition_of(distribution_kind kind) {
    return distributions.at(static_cast<std::size_t>(kind));
}

} // namespace cyclamenledge::metrics
