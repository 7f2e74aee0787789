#include "forwarding/stop_judgement.h"

#include "base/name_table.h"

#include <algorithm>
#include <array>

namespace cyclamenledge::forwarding {

namespace {

constexpr base::name_table<stop_call, stop_call_count> stop_call_names{base::make_names(
    {"moved", "kept", "not_running", "declined", "unconfirmed", "unanswered", "refused", "out_of_reach"})};

constexpr base::name_table<run_connection, run_connection_count> run_connection_names{
    base::make_names({"open", "ended"})};

constexpr base::name_table<run_evidence, run_evidence_count> run_evidence_names{base::make_names(
    {"none", "working", "may_wait", "not_there", "replaced", "process_ended", "unresponsive", "newer_listing"})};

using enum stop_outcome;
using outcomes_by_call = std::array<stop_outcome, stop_call_count>;

struct evidence_rows {
    outcomes_by_call while_open;
    outcomes_by_call after_end;
};

// In the order of stop_call: moved, kept, not_running, declined, unconfirmed, unanswered, refused, out_of_reach.
// A process that ends closes its connections, so while one is open, a refusal shows that the target has no room for
// another connection.
constexpr evidence_rows without_witness{
    {moved, kept, not_running, not_stopped, not_stopped, unreachable, not_stopped, unreachable},
    {moved, kept, not_running, not_stopped, not_stopped, unreachable, unreachable, unreachable}};
constexpr outcomes_by_call seen_working{moved,       kept,        not_stopped, not_stopped,
                                        not_stopped, not_stopped, not_stopped, unreachable};
constexpr outcomes_by_call perhaps_waiting{moved,       kept,        not_running, not_stopped,
                                           not_stopped, not_stopped, not_stopped, unreachable};
constexpr outcomes_by_call seen_gone{moved, kept, gone, gone, gone, gone, gone, gone};
constexpr outcomes_by_call seen_replaced{moved, kept, ended, ended, ended, ended, ended, ended};
constexpr evidence_rows seen_ending{
    {moved, kept, not_running, not_stopped, not_stopped, unreachable, not_stopped, ended},
    {moved, kept, not_running, not_stopped, ended, ended, ended, ended}};
constexpr evidence_rows listed_newer{
    {moved, kept, ended, not_stopped, not_stopped, unreachable, not_stopped, unreachable},
    {moved, kept, ended, not_stopped, not_stopped, unreachable, unreachable, unreachable}};

constexpr std::array<evidence_rows, run_evidence_count> table{{
    without_witness,
    {seen_working, seen_working},
    {perhaps_waiting, perhaps_waiting},
    {seen_gone, seen_gone},
    {seen_replaced, seen_replaced},
    seen_ending,
    without_witness,
    listed_newer,
}};

} // namespace

std::string_view name_of(stop_call call) {
    return stop_call_names.name(call);
}

std::optional<stop_call> parse_stop_call(std::uint8_t value) {
    if (value >= stop_call_count)
        return std::nullopt;
    return static_cast<stop_call>(value);
}

std::string_view name_of(run_connection connection) {
    return run_connection_names.name(connection);
}

std::string_view name_of(run_evidence evidence) {
    return run_evidence_names.name(evidence);
}

std::optional<run_evidence> parse_stated_evidence(std::uint8_t value) {
    if (value >= static_cast<std::uint8_t>(run_evidence::newer_listing))
        return std::nullopt;
    return static_cast<run_evidence>(value);
}

run_evidence find_evidence(engine_report const& report, std::string_view request, std::int64_t started_at) {
    if (report.started_at > started_at && started_at > 0)
        return run_evidence::replaced;
    if (report.started_at < started_at)
        return run_evidence::none;
    if (request.empty() ||
        std::ranges::find(report.generating, request, &generating_request::request) != report.generating.end())
        return run_evidence::working;
    // A run that was preempted waits and reads its prompt again.
    return report.queued > 0 || report.reading > 0 ? run_evidence::may_wait : run_evidence::not_there;
}

stop_outcome judge_stop(stop_call call, run_connection connection, run_evidence evidence) {
    auto const& rows = table.at(static_cast<std::size_t>(evidence));
    auto const& row = connection == run_connection::open ? rows.while_open : rows.after_end;
    return row.at(static_cast<std::size_t>(call));
}

bool needs_evidence(stop_call call, run_connection connection) {
    switch (call) {
    case stop_call::moved:
    case stop_call::kept:
        return false;
    case stop_call::not_running:
        return connection == run_connection::open;
    default:
        return true;
    }
}

} // namespace cyclamenledge::forwarding
