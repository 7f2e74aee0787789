#include "routing/target_table.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::routing {

target_state* target_table::find_state(std::string_view target) {
    auto const found = slots_.find(target);
    return found == slots_.end() ? nullptr : &states_[found->second];
}

target_state const* target_table::find(std::string_view target) const {
    auto const found = slots_.find(target);
    return found == slots_.end() ? nullptr : &states_[found->second];
}

void target_table::update_hint(std::string_view target, load_hint const& hint, base::time_point now) {
    if (auto* state = find_state(target))
        state->set_hint(hint, now);
}

void target_table::set_link(std::string_view target, bool up, base::time_point now) {
    auto* state = find_state(target);
    if (state == nullptr || state->link_up == up)
        return;
    state->link_up = up;
    if (up) {
        state->link_lost_at.reset();
        return;
    }
    state->link_lost_at = now;
    if (detect_partition(state->region, now))
        end_recent_ejections(state->region, now);
}

void target_table::copy_learned_state(target_table&& previous, base::time_point now) {
    copy_learned_states(previous, now);
    prefixes_ = std::move(previous.prefixes_);
}

void target_table::copy_learned_states(target_table const& previous, base::time_point now) {
    for (auto& state : states_) {
        if (auto const* earlier = previous.find(state.name))
            state.copy_learned_state(*earlier, now);
    }
}

void target_table::set_leaving(std::string_view target, bool leaving) {
    if (auto* state = find_state(target))
        state->leaving = leaving;
}

void target_table::on_prefix_stored(std::string_view target, std::uint64_t prefix, base::time_point now) {
    if (auto const* state = find(target))
        prefixes_.on_stored(prefix, state->id, now);
}

void target_table::on_prefix_evicted(std::string_view target, std::uint64_t prefix) {
    if (auto const* state = find(target))
        prefixes_.on_evicted(prefix, state->id);
}

route_decision target_table::choose(route_request const& request, base::time_point now) {
    auto const found = services_.find(request.service);
    if (found == services_.end()) {
        route_decision unknown_service;
        unknown_service.refusal = base::error_kind::not_found;
        return unknown_service;
    }
    if (is_enabled(mechanism::ejection_bound))
        enforce_ejection_bound(found->second, now);
    auto considered = assess_candidates(found->second, request, now);
    prefer_own_region(considered, request);
    choice_rule rule = choice_rule::none;
    auto* chosen = select(considered, request, now, rule);
    route_decision decision;
    if (chosen == nullptr) {
        decision = make_refusal(considered);
    } else {
        chosen->reason = skip_reason::chosen;
        decision.target = states_[chosen->slot].name;
        decision.crosses_region = states_[chosen->slot].crosses_region;
        decision.rule = rule;
    }
    if (request.explain)
        explain(considered, decision);
    return decision;
}

target_table::candidates target_table::assess_candidates(std::vector<std::uint32_t> const& slots,
                                                         route_request const& request, base::time_point now) const {
    candidates result;
    double weights = 0;
    double others = 0;
    for (auto const slot : slots) {
        // The cost field holds the weight until the mean is computed.
        auto const weight = states_[slot].hint_weight(now, policy_);
        weights += weight;
        others += weight * states_[slot].other_requests_at_hint();
        result.push_back({slot, skip_reason::not_sampled, 0, 0, weight});
    }
    auto const mean = weights > 0 ? others / weights : 0;
    for (auto& each : result) {
        auto const& state = states_[each.slot];
        auto const weight = each.cost;
        auto const bound = std::max(static_cast<double>(state.bound()), 1.0);
        each.load = weight * state.other_requests_at_hint() + (1 - weight) * mean + state.own_outstanding;
        each.usage = (each.load + 1) / bound;
        each.cost = policy_.full_load_wait_milliseconds * each.usage +
                    (state.crosses_region ? policy_.region_crossing_cost_milliseconds : 0);
        each.reason = assess_target(state, request, each.load, now);
    }
    return result;
}

skip_reason target_table::assess_target(target_state const& state, route_request const& request, double load,
                                        base::time_point now) const {
    if (std::find(request.excluded.begin(), request.excluded.end(), state.name) != request.excluded.end())
        return skip_reason::excluded;
    if (!state.in_service && is_enabled(mechanism::service_state))
        return skip_reason::out_of_service;
    if (state.leaving)
        return skip_reason::leaving;
    if (!state.link_up)
        return skip_reason::link_down;
    if (state.crosses_region && request.crossing == catalogue::region_crossing::never)
        return skip_reason::region_not_allowed;
    if (state.ejected_at)
        return skip_reason::ejected;
    if (is_enabled(mechanism::ramp) && state.own_outstanding >= state.ramp_limit(now, policy_))
        return skip_reason::ramping;
    if (load >= state.bound())
        return skip_reason::full;
    return skip_reason::not_sampled;
}

void target_table::prefer_own_region(candidates& considered, route_request const& request) const {
    if (request.crossing != catalogue::region_crossing::when_full)
        return;
    double load = 0;
    double bound = 0;
    bool own_region_has_room = false;
    for (auto const& each : considered) {
        auto const& state = states_[each.slot];
        bool const usable = each.reason == skip_reason::not_sampled || each.reason == skip_reason::full;
        if (state.crosses_region || !usable)
            continue;
        load += each.load;
        bound += state.bound();
        own_region_has_room = own_region_has_room || each.reason == skip_reason::not_sampled;
    }
    own_region_has_room = own_region_has_room && load < policy_.full_region_usage * bound;
    if (!own_region_has_room)
        return;
    for (auto& each : considered) {
        auto const reason = each.reason;
        bool const usable =
            reason == skip_reason::not_sampled || reason == skip_reason::ejected || reason == skip_reason::full;
        if (states_[each.slot].crosses_region && usable)
            each.reason = skip_reason::region_not_allowed;
    }
}

target_table::candidate* target_table::select(candidates& considered, route_request const& request,
                                              base::time_point now, choice_rule& rule) {
    rule = choice_rule::probe;
    if (auto* probe = select_probe(considered, now))
        return probe;
    auto const unrestricted = candidates_with(considered, skip_reason::not_sampled, now);
    rule = choice_rule::prefix_affinity;
    if (auto* preferred = select_by_affinity(considered, unrestricted, request, now))
        return preferred;
    // The agent of a full target may still queue the request. Ejected targets are the last resort.
    rule = choice_rule::two_choices;
    for (auto const reason : {skip_reason::not_sampled, skip_reason::full, skip_reason::ramping}) {
        auto const pool = candidates_with(considered, reason, now);
        if (!pool.empty())
            return select_cheaper(considered, pool);
    }
    rule = choice_rule::all_ejected;
    auto const ejected = candidates_with(considered, skip_reason::ejected, now);
    return ejected.empty() || !is_enabled(mechanism::ejection_bound) ? nullptr : select_cheaper(considered, ejected);
}

target_table::candidate* target_table::select_probe(candidates& considered, base::time_point now) {
    for (auto& each : considered) {
        auto& state = states_[each.slot];
        if (each.reason == skip_reason::ejected && !state.probing && now >= state.next_probe_at) {
            // If the attempt never reports an outcome, the probe is repeated after one ejection time.
            state.next_probe_at = now + policy_.ejection_time;
            return &each;
        }
    }
    return nullptr;
}

target_table::candidate* target_table::select_by_affinity(candidates& considered, positions const& pool,
                                                          route_request const& request, base::time_point now) const {
    auto const preferred = prefixes_.find(request.prefix, now);
    if (!preferred || pool.empty())
        return nullptr;
    double usage = 0;
    bool own_region_has_room = false;
    candidate* match = nullptr;
    for (auto const position : pool) {
        auto& each = considered[position];
        usage += each.usage;
        own_region_has_room = own_region_has_room || !states_[each.slot].crosses_region;
        if (states_[each.slot].id == *preferred)
            match = &each;
    }
    auto const limit = policy_.affinity_load_factor * usage / static_cast<double>(pool.size());
    if (match == nullptr || (is_enabled(mechanism::affinity_bound) && match->usage > limit))
        return nullptr;
    return states_[match->slot].crosses_region && own_region_has_room ? nullptr : match;
}

target_table::candidate* target_table::select_cheaper(candidates& considered, positions const& pool) {
    auto const first = random_.below(pool.size());
    if (pool.size() == 1)
        return &considered[pool[0]];
    auto const second = (first + 1 + random_.below(pool.size() - 1)) % pool.size();
    auto& left = considered[pool[first]];
    auto& right = considered[pool[second]];
    auto& cheaper = left.cost <= right.cost ? left : right;
    auto& costlier = &cheaper == &left ? right : left;
    if (costlier.reason == skip_reason::not_sampled)
        costlier.reason = skip_reason::higher_cost;
    return &cheaper;
}

target_table::positions target_table::candidates_with(candidates const& considered, skip_reason reason,
                                                      base::time_point now) const {
    positions pool;
    for (std::uint32_t position = 0; position < considered.size(); ++position) {
        if (considered[position].reason != reason)
            continue;
        auto const& state = states_[considered[position].slot];
        // The first request to a ramping target does not wait for the ramp delay; the limit of the ramp applies to all
        // further requests.
        bool const over_ramp = reason == skip_reason::ramping &&
                               state.own_outstanding >= std::max(state.ramp_limit(now, policy_), std::uint32_t{1});
        if (!over_ramp)
            pool.push_back(position);
    }
    return pool;
}

route_decision target_table::make_refusal(candidates const& considered) const {
    bool out_of_service = !considered.empty();
    bool ramping = false;
    for (auto const& each : considered) {
        out_of_service = out_of_service && each.reason == skip_reason::out_of_service;
        ramping = ramping || each.reason == skip_reason::ramping;
    }
    route_decision decision;
    decision.refusal = base::error_kind::no_target;
    if (ramping)
        decision.refusal = base::error_kind::overloaded;
    if (out_of_service)
        decision.refusal = base::error_kind::out_of_service;
    return decision;
}

void target_table::explain(candidates const& considered, route_decision& decision) const {
    decision.considered.reserve(considered.size());
    for (auto const& each : considered)
        decision.considered.push_back({states_[each.slot].name, each.reason, each.cost});
}

void target_table::on_sent(std::string_view target, std::uint64_t prefix, base::time_point now) {
    auto* state = find_state(target);
    if (state == nullptr)
        return;
    ++state->own_outstanding;
    if (state->ejected_at)
        state->probing = true;
    prefixes_.on_routed(prefix, state->id, now);
}

void target_table::on_outcome(std::string_view target, attempt_outcome outcome, base::duration elapsed,
                              base::time_point now) {
    auto* state = find_state(target);
    if (state == nullptr)
        return;
    if (state->own_outstanding > 0)
        --state->own_outstanding;
    if (outcome == attempt_outcome::success) {
        state->consecutive_failures = 0;
        state->observe_duration(elapsed);
        if (state->ejected_at && state->probing)
            state->end_ejection(now);
        else if (!state->ejected_at)
            state->ejections = 0;
    } else if (outcome == attempt_outcome::failure) {
        on_failure(*state, now);
    } else {
        state->probing = false;
    }
}

void target_table::on_failure(target_state& state, base::time_point now) {
    ++state.consecutive_failures;
    state.last_failure = now;
    if (detect_partition(state.region, now)) {
        end_recent_ejections(state.region, now);
        return;
    }
    if (state.ejected_at) {
        if (state.probing)
            state.eject(now, policy_);
        return;
    }
    if (state.consecutive_failures >= policy_.ejection_failures && may_eject(state))
        state.eject(now, policy_);
}

bool target_table::may_eject(target_state const& state) const {
    if (!is_enabled(mechanism::ejection_bound))
        return true;
    auto const slot = static_cast<std::size_t>(&state - states_.data());
    std::size_t eligible = 0;
    std::size_t ejected = 0;
    for (auto const other : *service_slots_[slot]) {
        eligible += states_[other].eligible() ? 1 : 0;
        ejected += states_[other].eligible() && states_[other].ejected_at ? 1 : 0;
    }
    return (ejected + 1) * 2 <= eligible;
}

bool target_table::detect_partition(std::uint32_t region, base::time_point now) {
    if (region == own_region_ || !is_enabled(mechanism::partition_check))
        return false;
    std::size_t members = 0;
    std::size_t unreachable = 0;
    for (auto const& state : states_) {
        if (state.region != region)
            continue;
        ++members;
        unreachable += state.recently_unreachable(now, policy_) ? 1 : 0;
    }
    auto& until = partitioned_until_[region];
    if (unreachable >= policy_.partition_minimum_targets && unreachable * 2 > members)
        until = now + policy_.partition_window;
    return now < until;
}

void target_table::end_recent_ejections(std::uint32_t region, base::time_point now) {
    for (auto& state : states_) {
        bool const recent = state.ejected_at && now - *state.ejected_at <= policy_.partition_window;
        if (state.region != region || !recent)
            continue;
        // The failures stay counted, so that a target that still fails after the partition is ejected.
        state.ejected_at.reset();
        state.probing = false;
    }
}

void target_table::enforce_ejection_bound(std::vector<std::uint32_t> const& slots, base::time_point now) {
    // When links go down after an ejection, more than half of the remaining eligible targets can be ejected. The oldest
    // ejections end first.
    while (true) {
        std::size_t eligible = 0;
        std::size_t ejected = 0;
        target_state* oldest = nullptr;
        for (auto const slot : slots) {
            auto& state = states_[slot];
            if (!state.eligible())
                continue;
            ++eligible;
            if (!state.ejected_at)
                continue;
            ++ejected;
            if (oldest == nullptr || *state.ejected_at < *oldest->ejected_at)
                oldest = &state;
        }
        if (oldest == nullptr || ejected * 2 <= eligible)
            return;
        oldest->end_ejection(now);
    }
}

} // namespace cyclamenledge::routing
