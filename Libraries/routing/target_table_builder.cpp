#include "routing/target_table_builder.h"

#include "base/hash.h"

#include <utility>

namespace cyclamenledge::routing {

target_table_builder& target_table_builder::published(catalogue::catalogue_pointer value) {
    catalogue_ = std::move(value);
    return *this;
}

target_table_builder& target_table_builder::entry(std::string_view name) {
    entry_ = name;
    return *this;
}

target_table_builder& target_table_builder::failure_domain(std::string_view name) {
    failure_domain_ = name;
    return *this;
}

target_table_builder& target_table_builder::seed(std::uint64_t value) {
    seed_ = value;
    return *this;
}

target_table_builder& target_table_builder::policy(routing_policy const& value) {
    policy_ = value;
    return *this;
}

target_table_builder& target_table_builder::subset_sizes(subset_policy const& value) {
    subset_policy_ = value;
    return *this;
}

target_table_builder& target_table_builder::previous(target_table const& value) {
    previous_ = &value;
    return *this;
}

target_table_builder& target_table_builder::disable_for_test(mechanism part) {
    disabled_.set(static_cast<std::size_t>(part));
    return *this;
}

base::result<target_table> target_table_builder::build(base::time_point now) const {
    if (!catalogue_ || catalogue_->find_entry(entry_) == nullptr)
        return base::make_error(base::error_kind::invalid_configuration, "entry " + entry_ + " is not published");
    auto const* domain = catalogue_->find_failure_domain(failure_domain_);
    if (domain == nullptr)
        return base::make_error(base::error_kind::invalid_configuration,
                                "failure domain " + failure_domain_ + " is not published");
    target_table table{policy_, seed_};
    table.catalogue_ = catalogue_;
    table.disabled_ = disabled_;
    table.own_region_ = static_cast<std::uint32_t>(base::hash_text(domain->region));
    for (auto const& service : catalogue_->services()) {
        auto& slots = table.services_[service.name];
        for (auto const position : subset{*catalogue_, service.name, subset_policy_}.targets_of(entry_)) {
            slots.push_back(static_cast<std::uint32_t>(table.states_.size()));
            add_target(table, catalogue_->targets()[position], now);
        }
    }
    table.service_slots_.resize(table.states_.size());
    for (auto const& [name, slots] : table.services_) {
        for (auto const slot : slots)
            table.service_slots_[slot] = &slots;
    }
    if (previous_ != nullptr)
        copy_learned_state(table, now);
    return table;
}

void target_table_builder::add_target(target_table& table, catalogue::target const& item, base::time_point now) const {
    target_state state;
    state.name = item.name;
    state.id = static_cast<std::uint32_t>(base::hash_text(item.name));
    state.maximum_running = item.maximum_running;
    state.in_service = catalogue_->in_service(item);
    if (auto const* domain = catalogue_->find_failure_domain(item.failure_domain))
        state.region = static_cast<std::uint32_t>(base::hash_text(domain->region));
    state.crosses_region = state.region != table.own_region_;
    // The delay comes from a hash, so that the entries start at different times and each keeps its delay when the table
    // is rebuilt.
    auto const share = base::rendezvous_score(entry_, item.name) % 1000;
    state.ramp_delay = policy_.ramp_spread * static_cast<int>(share) / 1000;
    state.start_ramp(ramp_kind::until_warm, now);
    table.slots_.emplace(state.name, static_cast<std::uint32_t>(table.states_.size()));
    table.states_.push_back(state);
}

void target_table_builder::copy_learned_state(target_table& table, base::time_point now) const {
    table.prefixes_ = previous_->prefixes_;
    table.copy_learned_states(*previous_, now);
}

} // namespace cyclamenledge::routing
