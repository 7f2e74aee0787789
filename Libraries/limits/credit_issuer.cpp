#include "limits/credit_issuer.h"

#include "limits/home_entry.h"

#include <cmath>
#include <limits>
#include <utility>

namespace cyclamenledge::limits {

namespace {

constexpr double unlimited = std::numeric_limits<double>::infinity();
/// Interval for recomputing the totals of a member. They change slowly compared with the request interval, and adding
/// up 330 holders for each request is expensive.
constexpr base::milliseconds refresh_interval{250};
/// A holder's share accrues for at most this time, which keeps the computed time in range for very small shares.
constexpr double longest_share_seconds = 60;

double or_unlimited(double limit) {
    return limit > 0 ? limit : unlimited;
}

double depth_of(double rate, std::size_t resource) {
    // The bucket must hold a whole request; otherwise limits below two per second would never be granted.
    auto const least = resource == 0 ? 1.0 : 0.0;
    return std::max(rate * base::to_seconds(issuer_depth), least);
}

double requests_limit(catalogue::organisation const& item) {
    return item.limits.requests_per_second;
}

double tokens_limit(catalogue::organisation const& item) {
    return item.limits.tokens_per_second;
}

double slots_limit(catalogue::organisation const& item) {
    return item.limits.concurrent_requests;
}

constexpr std::array<double (*)(catalogue::organisation const&), 2> rate_limits{requests_limit, tokens_limit};

bool same_entries(catalogue::catalogue const& left, catalogue::catalogue const& right) {
    return std::equal(left.entries().begin(), left.entries().end(), right.entries().begin(), right.entries().end(),
                      [](auto const& one, auto const& other) { return one.name == other.name; });
}

} // namespace

credit_issuer::credit_issuer(std::string entry, catalogue::catalogue_pointer published, base::time_point now)
    : entry_(std::move(entry))
    , catalogue_(std::move(published))
    , confirm_only_until_(now + credit_lease)
    , last_expiry_(now) {}

void credit_issuer::set_catalogue(catalogue::catalogue_pointer published, base::time_point now) {
    if (!same_entries(*catalogue_, *published))
        confirm_only_until_ = now + credit_lease;
    catalogue_ = std::move(published);
    for (auto& [head_office, group] : groups_) {
        auto const* head = catalogue_->find_organisation(head_office);
        group.is_home = head != nullptr && home_entry(*catalogue_, *head) == entry_;
        for (auto& [name, item] : group.members)
            item.published = catalogue_->find_organisation(name);
    }
}

credit_issuer::organisation_group* credit_issuer::find_group(catalogue::organisation const& published,
                                                             base::time_point now) {
    std::string name{head_office_of(published)};
    auto const found = groups_.find(name);
    if (found != groups_.end() && found->second.is_home)
        return &found->second;
    if (home_entry(*catalogue_, published) != entry_)
        return nullptr;
    auto& group = groups_.try_emplace(std::move(name), accrual_start(now)).first->second;
    group.is_home = true;
    return &group;
}

base::time_point credit_issuer::accrual_start(base::time_point now) const {
    // An issuer that has been the home entry for a full lease knows that a member without a record has no unspent
    // credit. Before that, it issues only what has accrued since it became the home entry.
    return now < confirm_only_until_ ? confirm_only_until_ - credit_lease : now - credit_lease;
}

base::result<credit_grant> credit_issuer::request(credit_request const& request, base::time_point now) {
    if (now - last_expiry_ >= credit_lease)
        expire(now);
    auto const* published = catalogue_->find_organisation(request.organisation);
    if (published == nullptr)
        return base::make_error(base::error_kind::not_found,
                                "organisation " + request.organisation + " is not published");
    auto* group = find_group(*published, now);
    if (group == nullptr)
        return base::make_error(base::error_kind::not_owner, "another entry issues credit for " + request.organisation);
    auto& item = group->members.try_emplace(request.organisation, accrual_start(now)).first->second;
    item.published = published;
    auto const [found, is_new] = item.holders.try_emplace(request.entry);
    if (is_new && holder_count_ >= maximum_holders) {
        item.holders.erase(found);
        return base::make_error(base::error_kind::overloaded, "too many holders of credit", credit_lease);
    }
    auto& requester = found->second;
    holder_count_ += is_new ? 1 : 0;
    if (is_new)
        requester.share_from.fill(now - issuer_depth);
    requester.requested_at = now;
    for (auto const resource : rate_resources)
        item.demand.*resource += request.demand_per_second.*resource - requester.demand.*resource;
    item.concurrent += request.concurrent - static_cast<std::uint64_t>(requester.concurrent);
    requester.demand = request.demand_per_second;
    requester.concurrent = request.concurrent;
    if (now - item.refreshed_at >= refresh_interval)
        refresh(item, now);

    credit_grant grant{request.organisation, request.sequence, {}, 0, credit_lease};
    for (std::size_t resource = 0; resource < rate_resources.size(); ++resource) {
        auto const amount = rate_resources[resource];
        grant.credit.*amount = grant_rate(*group, item, requester, resource, request.requested.*amount, now);
    }
    grant.concurrent = grant_slots(*group, item, requester, request, now);
    return grant;
}

double credit_issuer::unused_share(organisation_group const& group, member const& item, double limit_total,
                                   double (*limit)(catalogue::organisation const&),
                                   double (*demand)(member const&)) const {
    if (item.published->head_office.empty() || limit(*item.published) <= 0)
        return 0;
    double used = 0;
    double sharing_limit_sum = 0;
    for (auto const& [name, other] : group.members) {
        if (other.published == nullptr)
            continue;
        auto const own = or_unlimited(limit(*other.published));
        used += std::min(demand(other), own);
        if (demand(other) > own && !other.published->head_office.empty() && other.published->stretch > 0)
            sharing_limit_sum += own;
    }
    auto const own = limit(*item.published);
    auto const maximum = own * item.published->stretch;
    if (limit_total <= 0 || !enabled(mechanism::stretch_bound))
        return maximum;
    return std::min(maximum, std::max(limit_total - used, 0.0) * own / std::max(sharing_limit_sum, own));
}

double credit_issuer::grant_rate(organisation_group& group, member& item, holder& requester, std::size_t resource,
                                 double requested, base::time_point now) {
    auto const limit = rate_limits[resource];
    auto const own = limit(*item.published);
    if (own <= 0 || requested <= 0)
        return 0;
    if (!enabled(mechanism::issuer_bound))
        return requested;
    auto const* head = catalogue_->find_organisation(head_office_of(*item.published));
    auto const head_limit = head == nullptr ? 0 : limit(*head);
    auto const demand = resource == 0 ? [](member const& other) { return other.demand.requests; }
                                      : [](member const& other) { return other.demand.tokens; };
    auto const extra = unused_share(group, item, head_limit, limit, demand);
    auto& rates = item.rates[resource];
    auto& total = group.total[resource];
    rates.own.refill(own, depth_of(own, resource), now);
    rates.stretch.refill(extra, depth_of(extra, resource), now);
    total.refill(head_limit, depth_of(head_limit, resource), now);

    auto const room = head_limit > 0 && enabled(mechanism::stretch_bound) ? std::max(total.level(), 0.0) : unlimited;
    auto const from_stretch = extra > 0 ? std::min(rates.stretch.level(), std::max(room - rates.own.level(), 0.0)) : 0;
    auto granted = std::min(requested, std::max(rates.own.level(), 0.0) + std::max(from_stretch, 0.0));
    granted = limit_to_share(item, requester, resource, own + extra, granted, now);
    auto const from_own = std::min(granted, std::max(rates.own.level(), 0.0));
    rates.own.spend(from_own, 0);
    rates.stretch.spend(granted - from_own, 0);
    total.spend(granted, -depth_of(head_limit, resource));
    return granted;
}

double credit_issuer::limit_to_share(member const& item, holder& requester, std::size_t resource, double capacity,
                                     double granted, base::time_point now) {
    auto const whole = [resource](double amount) { return resource == 0 ? std::floor(amount + 1e-9) : amount; };
    auto const total_demand = item.demand.*rate_resources[resource];
    auto const own_demand = requester.demand.*rate_resources[resource];
    auto& from = requester.share_from[resource];
    if (total_demand <= capacity || own_demand <= 0) {
        from = now;
        return whole(granted);
    }
    // The fraction of a request that was rounded down stays in the share; otherwise a small share would lose most of
    // its credit.
    auto const rate = capacity * own_demand / total_demand;
    from = std::max(from, now - std::max<base::duration>(
                                    credit_lease, base::from_seconds(std::min(1 / rate, longest_share_seconds))));
    auto const amount = whole(std::min(granted, rate * base::to_seconds(now - from)));
    from += base::from_seconds(amount / rate);
    return amount;
}

std::uint32_t credit_issuer::grant_slots(organisation_group& group, member& item, holder& requester,
                                         credit_request const& request, base::time_point now) {
    auto const own = slots_limit(*item.published);
    if (own <= 0)
        return 0;
    auto const* head = catalogue_->find_organisation(head_office_of(*item.published));
    auto const head_limit = head == nullptr ? 0 : slots_limit(*head);
    auto const extra = std::floor(unused_share(group, item, head_limit, slots_limit, [](member const& other) {
        return static_cast<double>(other.concurrent);
    }));
    auto const capacity = static_cast<std::uint64_t>(own + extra);
    auto const others = item.leased_slots - std::min<std::uint64_t>(requester.leased_slots, item.leased_slots);
    count_leased_slots(requester, now);
    auto const available = capacity - std::min(others, capacity);
    std::uint64_t slots = std::min<std::uint64_t>(request.concurrent, available);
    if (item.concurrent > capacity && item.concurrent > 0) {
        auto const share = static_cast<double>(capacity) * request.concurrent / static_cast<double>(item.concurrent);
        slots = std::min<std::uint64_t>(slots, static_cast<std::uint64_t>(std::max(std::ceil(share), 1.0)));
    }
    // With a single published entry no other entry can hold slots.
    if (now < confirm_only_until_ && catalogue_->entries().size() > 1)
        slots = std::min<std::uint64_t>(slots, request.held_slots);
    if (requester.leases.size() == requester.leases.capacity())
        return 0;
    // The previous number of slots counts until its lease ends, because the grant that lowers it can be lost.
    requester.leases.push_back({now + credit_lease, static_cast<std::uint32_t>(slots)});
    requester.leased_slots = std::max(requester.leased_slots, static_cast<std::uint32_t>(slots));
    item.leased_slots = others + requester.leased_slots;
    return static_cast<std::uint32_t>(slots);
}

void credit_issuer::count_leased_slots(holder& item, base::time_point now) {
    std::uint32_t maximum = 0;
    boost::container::static_vector<slot_lease, 6> live;
    for (auto const& lease : item.leases) {
        if (lease.expires_at <= now)
            continue;
        live.push_back(lease);
        maximum = std::max(maximum, lease.slots);
    }
    item.leases = live;
    // refresh() corrects the member's total. Until then the total may be too high, but never too low.
    item.leased_slots = maximum;
}

void credit_issuer::refresh(member& item, base::time_point now) {
    item.demand = {};
    item.concurrent = 0;
    item.leased_slots = 0;
    for (auto& [entry, other_holder] : item.holders) {
        count_leased_slots(other_holder, now);
        item.leased_slots += other_holder.leased_slots;
        if (now - other_holder.requested_at > credit_lease) {
            other_holder.demand = {};
            other_holder.concurrent = 0;
        }
        for (auto const resource : rate_resources)
            item.demand.*resource += other_holder.demand.*resource;
        item.concurrent += other_holder.concurrent;
    }
    item.refreshed_at = now;
}

void credit_issuer::expire(base::time_point now) {
    last_expiry_ = now;
    holder_count_ = 0;
    for (auto& [head_office, group] : groups_) {
        for (auto& [name, item] : group.members) {
            std::erase_if(item.holders,
                          [now](auto const& entry) { return now - entry.second.requested_at > 2 * credit_lease; });
            refresh(item, now);
            holder_count_ += item.holders.size();
        }
        std::erase_if(group.members, [](auto const& entry) { return entry.second.holders.empty(); });
    }
    std::erase_if(groups_, [](auto const& entry) { return entry.second.members.empty(); });
}

} // namespace cyclamenledge::limits
