#pragma once

#include "forwarding/publication_table.h"
#include "forwarding_entry/blackboard.h"
#include "metrics/registry.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// Applies published documents, whether they come from the metadata store or from a peer.
class publication_controller {
public:
    publication_controller(blackboard& board, metrics::registry& metrics)
        : board_(board)
        , metrics_(metrics) {}

    /// The observer is called after each batch with changes.
    void set_observer(std::function<void()> on_change) { on_change_ = std::move(on_change); }

    void apply(std::vector<forwarding::publication> changes, std::string_view source);
    void reconcile(forwarding::publication_listing listing, std::string_view source);
    /// Returns failure domains whose evacuation the store has lost and the operator has not written again in time, and
    /// targets that a restored store goes on listing.
    void expire(base::time_point now);

private:
    struct received_change {
        forwarding::publication content;
        /// The first change of the document since the store came back from a copy. It may be older than what is known.
        bool after_restore{false};
        /// The decoded configuration, or null.
        forwarding::route_set_pointer routes;
    };

    received_change decode(forwarding::publication change, std::string_view source) const;
    void activate(received_change const& change, std::string_view source);
    void apply_configuration(received_change const& change, std::string_view source);
    void apply_evacuation(received_change const& change, std::string_view source);
    void apply_target(received_change const& change, std::string_view source);
    /// Whether the announcement is older than what is known of the same incarnation of the target.
    bool is_outdated(forwarding::target_record const& record, bool after_restore) const;
    void use_target(forwarding::target_record const& record, std::uint64_t revision, std::string_view source);
    /// Stops using the target. Its writer may write the announcement every second, so it is logged once.
    void ignore_target(std::string const& name, std::uint64_t revision, base::error const& reason);
    void set_evacuated(std::string const& failure_domain, bool evacuated, std::uint64_t revision,
                       std::string_view source);

    blackboard& board_;
    metrics::registry& metrics_;
    std::function<void()> on_change_;
    /// When an evacuation ends that the store has lost.
    std::map<std::string, base::time_point> lost_evacuations_;
    /// When a target is used again that was removed before the store came back from a copy that lists it.
    std::map<std::string, base::time_point> doubtful_targets_;
    /// Targets whose announcement cannot be used.
    std::set<std::string> ignored_targets_;
};

} // namespace cyclamenledge::forwarding_entry
