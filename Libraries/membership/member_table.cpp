#include "membership/member_table.h"

#include <utility>

namespace cyclamenledge::membership {

member_table::member_table(std::string own_region, base::duration vm_list_lag, member_switches switches)
    : switches_(switches)
    , vms_(vm_list_lag)
    , partitions_(std::move(own_region)) {}

void member_table::on_catalogue(catalogue::catalogue_pointer published, base::time_point now, base::wall_time wall) {
    catalogue_ = std::move(published);
    track_vms(now, wall);
    std::erase_if(observations_, [&](auto const& observed) { return !locate(observed.first); });
}

bool member_table::on_vm_list(std::vector<vm_record> const& list, base::time_point now, base::wall_time wall) {
    auto const plausible = vms_.on_list(list, now, wall);
    if (plausible)
        track_vms(now, wall);
    return plausible;
}

void member_table::on_link(std::string_view member, link_condition condition, base::time_point now) {
    auto const located = locate(member);
    if (!located)
        return;
    observations_[std::string{member}].link = condition;
    if (condition == link_condition::none)
        partitions_.remove_peer(located->region, member);
    else
        partitions_.on_link(located->region, member, condition == link_condition::healthy, now);
}

void member_table::on_announced_leaving(std::string_view member, bool leaving) {
    if (locate(member))
        observations_[std::string{member}].announced_leaving = leaving;
}

target_eligibility member_table::eligibility_of(std::string_view target, base::time_point now) const {
    auto const* published_target = catalogue_ ? catalogue_->find_target(target) : nullptr;
    if (published_target == nullptr)
        return target_eligibility::not_in_catalogue;
    auto const* domain = catalogue_->find_failure_domain(published_target->failure_domain);
    if (domain == nullptr)
        return target_eligibility::not_in_catalogue;
    if (switches_.check_service_state) {
        if (published_target->state != catalogue::service_state::in_service)
            return target_eligibility::target_out_of_service;
        if (domain->state != catalogue::service_state::in_service)
            return target_eligibility::failure_domain_out_of_service;
    }
    auto const observed = observation_of(target);
    if (switches_.check_leaving) {
        if (vms_.leaving(published_target->vm))
            return target_eligibility::vm_leaving;
        if (observed.announced_leaving)
            return target_eligibility::announced_leaving;
    }
    if (absent_since(target, now))
        return target_eligibility::vm_gone;
    return link_eligibility(observed.link, domain->region);
}

target_eligibility member_table::link_eligibility(link_condition link, std::string_view region) const {
    if (link == link_condition::healthy)
        return target_eligibility::eligible;
    if (link == link_condition::none)
        return target_eligibility::not_connected;
    return partitions_.partitioned(region) ? target_eligibility::region_partitioned : target_eligibility::link_suspect;
}

std::vector<catalogue::target const*> member_table::eligible_targets(std::string_view service,
                                                                     base::time_point now) const {
    std::vector<catalogue::target const*> result;
    if (!catalogue_)
        return result;
    for (auto const& target : catalogue_->targets()) {
        if (target.service == service && eligibility_of(target.name, now) == target_eligibility::eligible)
            result.push_back(&target);
    }
    return result;
}

std::vector<catalogue::entry const*> member_table::live_entries(base::time_point now) const {
    std::vector<catalogue::entry const*> result;
    if (!catalogue_)
        return result;
    for (auto const& entry : catalogue_->entries()) {
        auto const observed = observation_of(entry.name);
        auto const leaving = vms_.leaving(entry.vm) || observed.announced_leaving;
        if (!leaving && observed.link != link_condition::suspect && !absent_since(entry.name, now))
            result.push_back(&entry);
    }
    return result;
}

std::optional<base::wall_time> member_table::absent_since(std::string_view member, base::time_point now) const {
    auto const located = locate(member);
    if (!located || observation_of(member).link == link_condition::healthy)
        return std::nullopt;
    return vms_.absent_since(located->vm, now);
}

std::optional<member_table::location> member_table::locate(std::string_view member) const {
    if (!catalogue_)
        return std::nullopt;
    auto const make_location = [&](std::string_view vm, std::string_view domain_name) {
        auto const* domain = catalogue_->find_failure_domain(domain_name);
        return location{vm, domain == nullptr ? std::string_view{} : std::string_view{domain->region}};
    };
    if (auto const* target = catalogue_->find_target(member))
        return make_location(target->vm, target->failure_domain);
    if (auto const* entry = catalogue_->find_entry(member))
        return make_location(entry->vm, entry->failure_domain);
    return std::nullopt;
}

member_table::observation member_table::observation_of(std::string_view member) const {
    auto const found = observations_.find(member);
    return found == observations_.end() ? observation{} : found->second;
}

void member_table::track_vms(base::time_point now, base::wall_time wall) {
    if (!catalogue_)
        return;
    for (auto const& target : catalogue_->targets())
        vms_.track(target.vm, now, wall);
    for (auto const& entry : catalogue_->entries())
        vms_.track(entry.vm, now, wall);
}

} // namespace cyclamenledge::membership
