#include "forwarding/run_handover.h"

#include "base/name_table.h"

namespace cyclamenledge::forwarding {

namespace {

constexpr base::name_table<stop_outcome, stop_outcome_count> stop_outcome_names{
    base::make_names({"moved", "kept", "not_running", "ended", "gone", "unreachable", "not_stopped"})};

constexpr base::name_table<stop_effect, stop_effect_count> stop_effect_names{
    base::make_names({"none", "possible", "certain"})};

constexpr base::name_table<run_condition, run_condition_count> run_condition_names{
    base::make_names({"leaving", "stalled", "lost"})};

struct place_list {
    std::array<memory_place, 3> places{};
    std::size_t count{0};
};

using enum memory_place;

constexpr place_list nowhere{};
constexpr place_list moved_memory{{destination, source, earlier_copy}, 3};
constexpr place_list kept_memory{{source, earlier_copy}, 2};
// A target whose run stalled or whose connection was lost may not serve any more.
constexpr place_list kept_at_doubtful_target{{earlier_copy, source}, 2};
constexpr place_list copies_only{{earlier_copy}, 1};

// By stop_outcome and run_condition. A run that waits in its target's queue is not running, so while its connection is
// open, that does not show that it has ended. The last events of a run that is gone may still be on their way over a
// connection that brings events.
constexpr std::array<std::array<place_list, run_condition_count>, stop_outcome_count> table{{
    {moved_memory, moved_memory, moved_memory},
    {kept_memory, kept_at_doubtful_target, kept_at_doubtful_target},
    {nowhere, nowhere, copies_only},
    {copies_only, copies_only, copies_only},
    {nowhere, copies_only, copies_only},
    {nowhere, copies_only, copies_only},
    {nowhere, nowhere, nowhere},
}};

} // namespace

std::string_view name_of(stop_outcome outcome) {
    return stop_outcome_names.name(outcome);
}

stop_effect effect_of(stop_outcome outcome, bool answers_uncertain) {
    if (outcome == stop_outcome::moved || outcome == stop_outcome::kept)
        return stop_effect::certain;
    return answers_uncertain ? stop_effect::possible : stop_effect::none;
}

std::string_view name_of(stop_effect effect) {
    return stop_effect_names.name(effect);
}

std::string_view name_of(run_condition condition) {
    return run_condition_names.name(condition);
}

std::span<memory_place const> places_to_go_on(stop_outcome outcome, run_condition condition) {
    auto const& found = table.at(static_cast<std::size_t>(outcome)).at(static_cast<std::size_t>(condition));
    return {found.places.data(), found.count};
}

} // namespace cyclamenledge::forwarding
