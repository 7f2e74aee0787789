#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace cyclamenledge::metrics {

/// Counters of events since the process started.
enum class counter_kind : std::uint8_t {
    requests,
    answers_ok,
    answers_refused,
    answers_failed,
    tokens,
    retries,
    retry_budget_exhausted,
    hedges,
    resumes,
    reruns,
    late_answers_dropped,
    frames_received,
    frames_sent,
    control_bytes_received,
    control_bytes_sent,
    data_bytes_received,
    data_bytes_sent,
    keyed_calls_run,
    keyed_calls_joined,
    keys_sealed,
    keys_unknown,
    poison_refusals,
    preemptions,
    links_lost,
    configuration_applied,
    configuration_rejected,
    permits_received,
    permits_refused,
    unpermitted_sends,
    paces_ignored,
    refused_without_room,
    waits_at_agents,
    run_overlaps,
    stream_order_breaks,
    announcements_ignored,
};
inline constexpr std::size_t counter_kind_count = static_cast<std::size_t>(counter_kind::announcements_ignored) + 1;

/// Distributions of durations, in milliseconds.
enum class distribution_kind : std::uint8_t { first_token, token_gap, stall, queue_wait, call_duration };
inline constexpr std::size_t distribution_kind_count = static_cast<std::size_t>(distribution_kind::call_duration) + 1;

struct metric_definition {
    std::string_view name;
    std::string_view help;
};

metric_definition const& definition_of(counter_kind kind);
metric_definition const& definition_of(distribution_kind kind);

} // namespace cyclamenledge::metrics
