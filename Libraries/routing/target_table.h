#pragma once

#include "base/random.h"
#include "catalogue/catalogue.h"
#include "routing/prefix_history.h"
#include "routing/route.h"
#include "routing/routing_policy.h"
#include "routing/target_state.h"

#include <boost/container/small_vector.hpp>

#include <bitset>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::routing {

/// State of all targets in one entry's subset, and the selection of a target for each request. Updates for targets
/// outside the subset are ignored, because they can arrive after a change of the catalogue.
class target_table {
public:
    // service_slots_ points into services_. The addresses stay valid after a move but not after a copy.
    target_table(target_table const&) = delete;
    target_table& operator=(target_table const&) = delete;
    target_table(target_table&&) = default;
    target_table& operator=(target_table&&) = default;
    ~target_table() = default;

    void update_hint(std::string_view target, load_hint const& hint, base::time_point now);
    void set_link(std::string_view target, bool up, base::time_point now);
    /// Records whether the VM list reports that the target's VM is leaving.
    void set_leaving(std::string_view target, bool leaving);
    void on_prefix_stored(std::string_view target, std::uint64_t prefix, base::time_point now);
    void on_prefix_evicted(std::string_view target, std::uint64_t prefix);

    /// Copies the state that the table of the previous catalogue has learned since this table was built. The builder
    /// reads the previous table during the build, which would hold the lock for long; this call copies only the states
    /// of the entry's own targets.
    void copy_learned_state(target_table&& previous, base::time_point now);

    /// Selects a target without recording an attempt. The caller reports the attempt with on_sent() and its end with
    /// on_outcome().
    route_decision choose(route_request const& request, base::time_point now);
    void on_sent(std::string_view target, std::uint64_t prefix, base::time_point now);
    /// `elapsed` is the time since on_sent() without the time in which the caller did not accept tokens.
    void on_outcome(std::string_view target, attempt_outcome outcome, base::duration elapsed, base::time_point now);

    std::vector<target_state> const& targets() const { return states_; }
    target_state const* find(std::string_view target) const;

private:
    friend class target_table_builder;
    struct candidate {
        std::uint32_t slot;
        skip_reason reason;
        double load;
        double usage;
        double cost;
    };
    using candidates = boost::container::small_vector<candidate, 16>;
    using positions = boost::container::small_vector<std::uint32_t, 16>;

    explicit target_table(routing_policy const& policy, std::uint64_t seed)
        : policy_(policy)
        , random_(seed)
        , prefixes_(policy.prefix_lifetime) {}

    target_state* find_state(std::string_view target);
    void copy_learned_states(target_table const& previous, base::time_point now);
    bool is_enabled(mechanism part) const { return !disabled_.test(static_cast<std::size_t>(part)); }
    candidates assess_candidates(std::vector<std::uint32_t> const& slots, route_request const& request,
                                 base::time_point now) const;
    skip_reason assess_target(target_state const& state, route_request const& request, double load,
                              base::time_point now) const;
    void prefer_own_region(candidates& considered, route_request const& request) const;
    candidate* select_probe(candidates& considered, base::time_point now);
    candidate* select_by_affinity(candidates& considered, positions const& pool, route_request const& request,
                                  base::time_point now) const;
    candidate* select_cheaper(candidates& considered, positions const& pool);
    positions candidates_with(candidates const& considered, skip_reason reason, base::time_point now) const;
    candidate* select(candidates& considered, route_request const& request, base::time_point now, choice_rule& rule);
    route_decision make_refusal(candidates const& considered) const;
    void explain(candidates const& considered, route_decision& decision) const;

    void on_failure(target_state& state, base::time_point now);
    bool may_eject(target_state const& state) const;
    bool detect_partition(std::uint32_t region, base::time_point now);
    void end_recent_ejections(std::uint32_t region, base::time_point now);
    void enforce_ejection_bound(std::vector<std::uint32_t> const& slots, base::time_point now);

    catalogue::catalogue_pointer catalogue_;
    routing_policy policy_;
    base::random_source random_;
    prefix_history prefixes_;
    std::uint32_t own_region_{0};
    std::unordered_map<std::uint32_t, base::time_point> partitioned_until_;
    std::vector<target_state> states_;
    std::unordered_map<std::string_view, std::uint32_t> slots_;
    std::unordered_map<std::string_view, std::vector<std::uint32_t>> services_;
    std::vector<std::vector<std::uint32_t> const*> service_slots_;
    std::bitset<static_cast<std::size_t>(mechanism::count)> disabled_;
};

} // namespace cyclamenledge::routing
