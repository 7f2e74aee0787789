#pragma once

#include "base/result.h"
#include "routing/subset.h"
#include "routing/target_table.h"

#include <string>

namespace cyclamenledge::routing {

/// Builds the target table of one entry from a catalogue.
class target_table_builder {
public:
    target_table_builder& published(catalogue::catalogue_pointer value);
    target_table_builder& entry(std::string_view name);
    /// The entry's failure domain from its settings.
    target_table_builder& failure_domain(std::string_view name);
    target_table_builder& seed(std::uint64_t value);
    target_table_builder& policy(routing_policy const& value);
    target_table_builder& subset_sizes(subset_policy const& value);
    /// Copies the state that the table of the previous catalogue has learned. That table must outlive build().
    target_table_builder& previous(target_table const& value);
    /// Disables a mechanism, for tests only.
    target_table_builder& disable_for_test(mechanism part);

    /// Fails with invalid_configuration when the entry or its failure domain is not published.
    base::result<target_table> build(base::time_point now) const;

private:
    void add_target(target_table& table, catalogue::target const& item, base::time_point now) const;
    void copy_learned_state(target_table& table, base::time_point now) const;

    catalogue::catalogue_pointer catalogue_;
    std::string entry_;
    std::string failure_domain_;
    std::uint64_t seed_{1};
    routing_policy policy_;
    subset_policy subset_policy_;
    target_table const* previous_{nullptr};
    std::bitset<static_cast<std::size_t>(mechanism::count)> disabled_;
};

} // namespace cyclamenledge::routing
