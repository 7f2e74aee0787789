#include "orders/placement.h"

#include "base/hash.h"
#include "base/name_table.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::orders {

namespace {

constexpr base::name_table<placement_action, 4> action_names{
    base::make_names({"keep", "load", "load_adapters", "unload"})};

bool has_wanted_version(loaded_model const& loaded, catalogue::model_placement const& wanted) {
    return loaded.model == wanted.model && loaded.version == wanted.version;
}

/// Whether `left` comes before `right` in the rendezvous order of the service.
bool ranks_before(std::string_view service, std::string_view left, std::string_view right) {
    auto const left_score = base::rendezvous_score(service, left);
    auto const right_score = base::rendezvous_score(service, right);
    return left_score != right_score ? left_score > right_score : left < right;
}

bool has_adapters(loaded_model const& loaded, catalogue::model_placement const& wanted) {
    return std::ranges::all_of(wanted.adapters, [&](std::string const& adapter) {
        return std::ranges::find(loaded.adapters, adapter) != loaded.adapters.end();
    });
}

} // namespace

std::string_view name_of(placement_action action) {
    return action_names.name(action);
}

placement::placement(std::string own_target, placement_switches switches)
    : own_target_(std::move(own_target))
    , switches_(switches) {}

placement_decision placement::decide(catalogue::catalogue const& published, loaded_model const& own,
                                     std::vector<target_report> const& others, std::uint32_t needed,
                                     base::time_point now) {
    note_revision(published.revision(), now);
    auto const* target = published.find_target(own_target_);
    auto const* service = target == nullptr ? nullptr : published.find_service(target->service);
    if (service == nullptr || service->kind != catalogue::service_kind::generation || !published.in_service(*target))
        return {};

    auto const seen = stand(published, *service, own, others, now);
    auto const least = std::max(1U, service->placement.minimum_warm);
    auto const wanted = std::min(seen.targets, std::max(least, demand_.update(needed, now)));
    if (!own.warm) {
        auto const stand_in = stands_in(seen, wanted, now);
        if (seen.rank < wanted || stand_in)
            return {placement_action::load, service->placement};
        return {};
    }
    gap_since_.reset();
    if (!has_wanted_version(own, service->placement)) {
        auto const spare = std::max(1U, seen.targets / rollout_divisor);
        auto const remaining = std::max(1U, std::min(wanted, seen.targets - std::min(seen.targets, spare)));
        if (may_go_cold(seen, remaining, now))
            return {placement_action::load, service->placement};
        return {};
    }
    if (seen.rank >= wanted && may_go_cold(seen, wanted, now))
        return {placement_action::unload, {}};
    if (!has_adapters(own, service->placement))
        return {placement_action::load_adapters, service->placement};
    return {};
}

placement::standing placement::stand(catalogue::catalogue const& published, catalogue::service const& service,
                                     loaded_model const& own, std::vector<target_report> const& others,
                                     base::time_point now) const {
    standing seen;
    for (auto const& target : published.targets()) {
        if (target.service != service.name || !published.in_service(target))
            continue;
        ++seen.targets;
        seen.rank += ranks_before(service.name, target.name, own_target_) ? 1 : 0;
    }
    auto const own_current = has_wanted_version(own, service.placement);
    for (auto const& report : others) {
        auto const* target = published.find_target(report.target);
        if (report.target == own_target_ || !report.loaded.warm || now - report.received > report_lifetime ||
            target == nullptr || target->service != service.name || !published.in_service(*target))
            continue;
        ++seen.warm;
        auto const current = has_wanted_version(report.loaded, service.placement);
        auto const before = current != own_current ? current : ranks_before(service.name, report.target, own_target_);
        seen.warm_before += before ? 1 : 0;
    }
    return seen;
}

bool placement::may_go_cold(standing const& seen, std::uint32_t wanted, base::time_point now) const {
    if (!switches_.protect_warm)
        return true;
    auto const settled = now - *revision_since_ >= revision_settle_time || !switches_.await_settled_revision;
    return settled && seen.warm_before >= wanted;
}

bool placement::stands_in(standing const& seen, std::uint32_t wanted, base::time_point now) {
    if (seen.warm >= wanted) {
        gap_since_.reset();
        return false;
    }
    if (!gap_since_)
        gap_since_ = now;
    // Later ranks wait longer, so that a gap isn't filled by every cold target at once.
    auto const beyond = seen.rank < wanted ? 0 : seen.rank - wanted + 1;
    return now - *gap_since_ >= stand_in_delay * beyond;
}

void placement::note_revision(std::uint64_t revision, base::time_point now) {
    if (revision_since_ && revision == revision_)
        return;
    revision_ = revision;
    revision_since_ = now;
}

} // namespace cyclamenledge::orders
