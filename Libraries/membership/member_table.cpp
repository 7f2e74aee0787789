#include "membership/member_table.h"

#include <utility>

namespace cyclamenledge::membership {

member_table::member_table(std::string own_region, base::duration vm_list_lag, member_switches switches)
    : switches_(switches)
    , vms_(vm_list_lag)
    , partitions_(std::move(own_region)) {}

void member_table::on_catalogue(catalogue::catalogue_pointer published, base::time_point now, base::wall_time wall) {
    catalogue_ = std::move(published);
    expect_vms(now, wall);
    std::erase_if(observations_, [&](auto const& known) { return !locate(known.first); });
}

bool member_table::on_vm_list(std::vector<vm_record> const& list, base::time_point now, base::wall_time wall) {
    auto const plausible = vms_.on_list(list, now, wall);
    if (plausible)
        expect_vms(now, wall);
    return plausible;
}

void member_table::on_link(std::string_view member, link_condition condition, base::time_point now) {
    auto const place = locate(member);
    if (!place)
        return;
    observations_[std::string{member}].link = condition;
    if (condition == link_condition::none)
        partitions_.forget(place->region, member);
    else
        partitions_.on_link(place->region, member, condition == link_condition::healthy, now);
}

void member_table::on_announced_leaving(std::string_view member, bool leaving) {
    if (locate(member))
        observations_[std::string{member}].announced_leaving = leaving;
}

standing member_table::standing_of(std::string_view target, base::time_point now) const {
    auto const* known = catalogue_ ? catalogue_->find_target(target) : nullptr;
    if (known == nullptr)
        return standing::not_in_catalogue;
    auto const* domain = catalogue_->find_failure_domain(known->failure_domain);
    if (domain == nullptr)
        return standing::not_in_catalogue;
    if (switches_.check_service_state) {
        if (known->state != catalogue::service_state::in_service)
            return standing::target_out_of_service;
        if (domain->state != catalogue::service_state::in_service)
            return standing::failure_domain_out_of_service;
    }
    auto const seen = observed(target);
    if (switches_.check_leaving) {
        if (vms_.leaving(known->vm))
            return standing::vm_leaving;
        if (seen.announced_leaving)
            return standing::announced_leaving;
    }
    if (gone_since(target, now))
        return standing::vm_gone;
    return link_standing(seen.link, domain->region);
}

standing member_table::link_standing(link_condition link, std::string_view region) const {
    if (link == link_condition::healthy)
        return standing::eligible;
    if (link == link_condition::none)
        return standing::not_connected;
    return partitions_.partitioned(region) ? standing::region_partitioned : standing::link_suspect;
}

std::vector<catalogue::target const*> member_table::eligible_targets(std::string_view service,
                                                                     base::time_point now) const {
    std::vector<catalogue::target const*> result;
    if (!catalogue_)
        return result;
    for (auto const& target : catalogue_->targets()) {
        if (target.service == service && standing_of(target.name, now) == standing::eligible)
            result.push_back(&target);
    }
    return result;
}

std::vector<catalogue::entry const*> member_table::live_entries(base::time_point now) const {
    std::vector<catalogue::entry const*> result;
    if (!catalogue_)
        return result;
    for (auto const& entry : catalogue_->entries()) {
        auto const seen = observed(entry.name);
        auto const leaving = vms_.leaving(entry.vm) || seen.announced_leaving;
        if (!leaving && seen.link != link_condition::suspect && !gone_since(entry.name, now))
            result.push_back(&entry);
    }
    return result;
}

std::optional<base::wall_time> member_table::gone_since(std::string_view member, base::time_point now) const {
    auto const place = locate(member);
    if (!place || observed(member).link == link_condition::healthy)
        return std::nullopt;
    return vms_.gone_since(place->vm, now);
}

std::optional<member_table::location> member_table::locate(std::string_view member) const {
    if (!catalogue_)
        return std::nullopt;
    auto const place = [&](std::string_view vm, std::string_view domain_name) {
        auto const* domain = catalogue_->find_failure_domain(domain_name);
        return location{vm, domain == nullptr ? std::string_view{} : std::string_view{domain->region}};
    };
    if (auto const* target = catalogue_->find_target(member))
        return place(target->vm, target->failure_domain);
    if (auto const* entry = catalogue_->find_entry(member))
        return place(entry->vm, entry->failure_domain);
    return std::nullopt;
}

member_table::observation member_table::observed(std::string_view member) const {
    auto const known = observations_.find(member);
    return known == observations_.end() ? observation{} : known->second;
}

void member_table::expect_vms(base::time_point now, base::wall_time wall) {
    if (!catalogue_)
        return;
    for (auto const& target : catalogue_->targets())
        vms_.expect(target.vm, now, wall);
    for (auto const& entry : catalogue_->entries())
        vms_.expect(entry.vm, now, wall);
}

} // namespace cyclamenledge::membership
