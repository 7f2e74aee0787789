#include "orders/placement.h"

#include "base/hash.h"
#include "base/name_table.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::orders {

namespace {

constexpr base::name_table<placement_action, 4> action_names{
    base::make_names({"keep", "load", "load_adapters", "unload"})};

bool has_published_version(loaded_model const& loaded, catalogue::model_placement const& published) {
    return loaded.model == published.model && loaded.version == published.version;
}

/// Whether `left` precedes `right` in the rendezvous order of the service.
bool precedes(std::string_view service, std::string_view left, std::string_view right) {
    auto const left_score = base::rendezvous_score(service, left);
    auto const right_score = base::rendezvous_score(service, right);
    return left_score != right_score ? left_score > right_score : left < right;
}

bool has_adapters(loaded_model const& loaded, catalogue::model_placement const& published) {
    return std::ranges::all_of(published.adapters, [&](std::string const& adapter) {
        return std::ranges::find(loaded.adapters, adapter) != loaded.adapters.end();
    });
}

} // namespace

std::string_view name_of(placement_action action) {
    return action_names.name(action);
}

placement::placement(std::string own_target, placement_mechanisms mechanisms)
    : own_target_(std::move(own_target))
    , mechanisms_(mechanisms) {}

placement_decision placement::decide(catalogue::catalogue const& published, loaded_model const& own,
                                     std::vector<target_report> const& others, std::uint32_t needed,
                                     base::time_point now) {
    record_revision(published.revision(), now);
    auto const* target = published.find_target(own_target_);
    auto const* service = target == nullptr ? nullptr : published.find_service(target->service);
    if (service == nullptr || service->kind != catalogue::service_kind::generation || !published.in_service(*target))
        return {};

    auto const position = locate_in_warm_order(published, *service, own, others, now);
    auto const minimum = std::max(1U, service->placement.minimum_warm);
    auto const required_warm = std::min(position.targets, std::max(minimum, demand_.update(needed, now)));
    if (!own.warm) {
        auto const substitutes = must_substitute(position, required_warm, now);
        if (position.rank < required_warm || substitutes)
            return {placement_action::load, service->placement};
        return {};
    }
    shortage_since_.reset();
    if (!has_published_version(own, service->placement)) {
        auto const allowed_cold = std::max(1U, position.targets / rollout_divisor);
        auto const remaining =
            std::max(1U, std::min(required_warm, position.targets - std::min(position.targets, allowed_cold)));
        if (may_become_cold(position, remaining, now))
            return {placement_action::load, service->placement};
        return {};
    }
    if (position.rank >= required_warm && may_become_cold(position, required_warm, now))
        return {placement_action::unload, {}};
    if (!has_adapters(own, service->placement))
        return {placement_action::load_adapters, service->placement};
    return {};
}

placement::warm_order_position placement::locate_in_warm_order(catalogue::catalogue const& published,
                                                               catalogue::service const& service,
                                                               loaded_model const& own,
                                                               std::vector<target_report> const& others,
                                                               base::time_point now) const {
    warm_order_position position;
    for (auto const& target : published.targets()) {
        if (target.service != service.name || !published.in_service(target))
            continue;
        ++position.targets;
        position.rank += precedes(service.name, target.name, own_target_) ? 1 : 0;
    }
    auto const own_current = has_published_version(own, service.placement);
    for (auto const& report : others) {
        auto const* target = published.find_target(report.target);
        if (report.target == own_target_ || !report.loaded.warm || now - report.received > report_lifetime ||
            target == nullptr || target->service != service.name || !published.in_service(*target))
            continue;
        ++position.warm;
        auto const current = has_published_version(report.loaded, service.placement);
        auto const precedes_own = current != own_current ? current : precedes(service.name, report.target, own_target_);
        position.warm_before += precedes_own ? 1 : 0;
    }
    return position;
}

bool placement::may_become_cold(warm_order_position const& position, std::uint32_t required_warm,
                                base::time_point now) const {
    if (!mechanisms_.protect_warm)
        return true;
    auto const settled = now - *revision_changed_at_ >= revision_settle_time || !mechanisms_.await_settled_revision;
    return settled && position.warm_before >= required_warm;
}

bool placement::must_substitute(warm_order_position const& position, std::uint32_t required_warm,
                                base::time_point now) {
    if (position.warm >= required_warm) {
        shortage_since_.reset();
        return false;
    }
    if (!shortage_since_)
        shortage_since_ = now;
    // Higher ranks wait longer, so that not all cold targets load the model at once.
    auto const excess_rank = position.rank < required_warm ? 0 : position.rank - required_warm + 1;
    return now - *shortage_since_ >= substitution_delay * excess_rank;
}

void placement::record_revision(std::uint64_t revision, base::time_point now) {
    if (revision_changed_at_ && revision == revision_)
        return;
    revision_ = revision;
    revision_changed_at_ = now;
}

} // namespace cyclamenledge::orders
