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

/// The targets of one entry with what it knows about them, and the choice of a target for each request. Calls for
/// targets outside the entry's subset are ignored, because they can arrive after a change of the catalogue.
class target_table {
public:
    // The slots of a service are referred to by address, which a move keeps and a copy does not.
    target_table(target_table const&) = delete;
    target_table& operator=(target_table const&) = delete;
    target_table(target_table&&) = default;
    target_table& operator=(target_table&&) = default;
    ~target_table() = default;

    void update_hint(std::string_view target, load_hint const& hint, base::time_point now);
    void set_link(std::string_view target, bool up, base::time_point now);
    /// Whether the VM list states that the target's VM is leaving.
    void set_leaving(std::string_view target, bool leaving);
    void on_prefix_stored(std::string_view target, std::uint64_t prefix, base::time_point now);
    void on_prefix_evicted(std::string_view target, std::uint64_t prefix);

    /// Takes over what the table of the previous catalogue has learned until now. The builder reads the previous table
    /// while it builds, which needs the lock for long; this takes only the copy of the entry's own targets.
    void take_over(target_table&& previous, base::time_point now);

    /// Decides only. The caller reports an attempt with on_sent and its end with on_outcome.
    route_decision choose(route_request const& request, base::time_point now);
    void on_sent(std::string_view target, std::uint64_t prefix, base::time_point now);
    /// The duration is the time since on_sent, without time in which the caller did not take tokens.
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
    void take_over_states(target_table const& previous, base::time_point now);
    bool enabled(mechanism part) const { return !left_out_.test(static_cast<std::size_t>(part)); }
    candidates assess(std::vector<std::uint32_t> const& slots, route_request const& request,
                      base::time_point now) const;
    skip_reason assess_one(target_state const& state, route_request const& request, double load,
                           base::time_point now) const;
    void hold_in_region(candidates& considered, route_request const& request) const;
    candidate* take_probe(candidates& considered, base::time_point now);
    candidate* take_affinity(candidates& considered, positions const& pool, route_request const& request,
                             base::time_point now) const;
    candidate* take_cheaper(candidates& considered, positions const& pool);
    positions pool_of(candidates const& considered, skip_reason reason, base::time_point now) const;
    candidate* take(candidates& considered, route_request const& request, base::time_point now, choice_rule& rule);
    route_decision refuse(candidates const& considered) const;
    void explain(candidates const& considered, route_decision& decision) const;

    void on_failure(target_state& state, base::time_point now);
    bool may_eject(target_state const& state) const;
    bool is_partition(std::uint32_t region, base::time_point now);
    void release_region(std::uint32_t region, base::time_point now);
    void release_excess(std::vector<std::uint32_t> const& slots, base::time_point now);

    catalogue::catalogue_pointer catalogue_;
    routing_policy policy_;
    base::random_source random_;
    prefix_history prefixes_;
    std::uint32_t own_region_{0};
    std::unordered_map<std::uint32_t, base::time_point> partitioned_until_;
    std::vector<target_state> states_;
    std::unordered_map<std::string_view, std::uint32_t> slots_;
    std::unordered_map<std::string_view, std::vector<std::uint32_t>> services_;
    std::vector<std::vector<std::uint32_t> const*> service_of_;
    std::bitset<static_cast<std::size_t>(mechanism::count)> left_out_;
};

} // namespace cyclamenledge::routing
