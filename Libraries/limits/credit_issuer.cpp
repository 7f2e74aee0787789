#include "limits/credit_issuer.h"

#include "limits/home_entry.h"

#include <cmath>
#include <limits>
#include <utility>

namespace cyclamenledge::limits {

namespace {

constexpr double unlimited = std::numeric_limits<double>::infinity();
/// Totals of a member change slowly against the ask interval, and adding up 330 holders for each ask is costly.
constexpr base::milliseconds refresh_interval{250};
/// A holder with a smaller share than one request in this time does not save up for it; keeps the time in range.
constexpr double longest_share_seconds = 60;

double or_unlimited(double limit) {
    return limit > 0 ? limit : unlimited;
}

double depth_of(double rate, std::size_t resource) {
    // A whole request must fit, or limits below two per second would never be granted.
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
    , cautious_until_(now + credit_lease)
    , expired_at_(now) {}

void credit_issuer::set_catalogue(catalogue::catalogue_pointer published, base::time_point now) {
    if (!same_entries(*catalogue_, *published))
        cautious_until_ = now + credit_lease;
    catalogue_ = std::move(published);
    for (auto& [family_name, group] : families_) {
        auto const* head = catalogue_->find_organisation(family_name);
        group.at_home = head != nullptr && home_entry(*catalogue_, *head) == entry_;
        for (auto& [name, item] : group.members)
            item.published = catalogue_->find_organisation(name);
    }
}

credit_issuer::family* credit_issuer::find_family(catalogue::organisation const& published, base::time_point now) {
    std::string name{family_of(published)};
    auto const found = families_.find(name);
    if (found != families_.end() && found->second.at_home)
        return &found->second;
    if (home_entry(*catalogue_, published) != entry_)
        return nullptr;
    auto& group = families_.try_emplace(std::move(name), accrues_from(now)).first->second;
    group.at_home = true;
    return &group;
}

base::time_point credit_issuer::accrues_from(base::time_point now) const {
    // An issuer that has been the home for a lease knows that a member without state has no unspent credit. Before
    // that, it issues what has accrued since it became the home.
    return now < cautious_until_ ? cautious_until_ - credit_lease : now - credit_lease;
}

base::result<credit_grant> credit_issuer::request(credit_request const& ask, base::time_point now) {
    if (now - expired_at_ >= credit_lease)
        expire(now);
    auto const* published = catalogue_->find_organisation(ask.organisation);
    if (published == nullptr)
        return base::make_error(base::error_kind::not_found, "organisation " + ask.organisation + " is not published");
    auto* group = find_family(*published, now);
    if (group == nullptr)
        return base::make_error(base::error_kind::not_owner, "another entry issues credit for " + ask.organisation);
    auto& item = group->members.try_emplace(ask.organisation, accrues_from(now)).first->second;
    item.published = published;
    auto const [found, is_new] = item.holders.try_emplace(ask.entry);
    if (is_new && holder_count_ >= maximum_holders) {
        item.holders.erase(found);
        return base::make_error(base::error_kind::overloaded, "too many holders of credit", credit_lease);
    }
    auto& asking = found->second;
    holder_count_ += is_new ? 1 : 0;
    if (is_new)
        asking.share_from.fill(now - issuer_depth);
    asking.asked_at = now;
    for (auto const resource : rate_resources)
        item.demand.*resource += ask.demand_per_second.*resource - asking.demand.*resource;
    item.concurrent += ask.concurrent - static_cast<std::uint64_t>(asking.concurrent);
    asking.demand = ask.demand_per_second;
    asking.concurrent = ask.concurrent;
    if (now - item.refreshed_at >= refresh_interval)
        refresh(item, now);

    credit_grant grant{ask.organisation, ask.sequence, {}, 0, credit_lease};
    for (std::size_t resource = 0; resource < rate_resources.size(); ++resource) {
        auto const amount = rate_resources[resource];
        grant.credit.*amount = grant_rate(*group, item, asking, resource, ask.wanted.*amount, now);
    }
    grant.concurrent = grant_slots(*group, item, asking, ask, now);
    return grant;
}

double credit_issuer::rest_for(family const& group, member const& item, double limit_total,
                               double (*limit)(catalogue::organisation const&), double (*demand)(member const&)) const {
    if (item.published->head_office.empty() || limit(*item.published) <= 0)
        return 0;
    double used = 0;
    double weights = 0;
    for (auto const& [name, other] : group.members) {
        if (other.published == nullptr)
            continue;
        auto const own = or_unlimited(limit(*other.published));
        used += std::min(demand(other), own);
        if (demand(other) > own && !other.published->head_office.empty() && other.published->stretch > 0)
            weights += own;
    }
    auto const own = limit(*item.published);
    auto const most = own * item.published->stretch;
    if (limit_total <= 0 || !enabled(mechanism::stretch_bound))
        return most;
    return std::min(most, std::max(limit_total - used, 0.0) * own / std::max(weights, own));
}

double credit_issuer::grant_rate(family& group, member& item, holder& asking, std::size_t resource, double wanted,
                                 base::time_point now) {
    auto const limit = rate_limits[resource];
    auto const own = limit(*item.published);
    if (own <= 0 || wanted <= 0)
        return 0;
    if (!enabled(mechanism::issuer_bound))
        return wanted;
    auto const* head = catalogue_->find_organisation(family_of(*item.published));
    auto const head_limit = head == nullptr ? 0 : limit(*head);
    auto const demand = resource == 0 ? [](member const& other) { return other.demand.requests; }
                                      : [](member const& other) { return other.demand.tokens; };
    auto const extra = rest_for(group, item, head_limit, limit, demand);
    auto& rates = item.rates[resource];
    auto& total = group.total[resource];
    rates.own.advance(own, depth_of(own, resource), now);
    rates.stretch.advance(extra, depth_of(extra, resource), now);
    total.advance(head_limit, depth_of(head_limit, resource), now);

    auto const room = head_limit > 0 && enabled(mechanism::stretch_bound) ? std::max(total.level(), 0.0) : unlimited;
    auto const from_stretch = extra > 0 ? std::min(rates.stretch.level(), std::max(room - rates.own.level(), 0.0)) : 0;
    auto granted = std::min(wanted, std::max(rates.own.level(), 0.0) + std::max(from_stretch, 0.0));
    granted = hold_to_share(item, asking, resource, own + extra, granted, now);
    auto const from_own = std::min(granted, std::max(rates.own.level(), 0.0));
    rates.own.spend(from_own, 0);
    rates.stretch.spend(granted - from_own, 0);
    total.spend(granted, -depth_of(head_limit, resource));
    return granted;
}

double credit_issuer::hold_to_share(member const& item, holder& asking, std::size_t resource, double capacity,
                                    double granted, base::time_point now) {
    auto const whole = [resource](double amount) { return resource == 0 ? std::floor(amount + 1e-9) : amount; };
    auto const total_demand = item.demand.*rate_resources[resource];
    auto const own_demand = asking.demand.*rate_resources[resource];
    auto& from = asking.share_from[resource];
    if (total_demand <= capacity || own_demand <= 0) {
        from = now;
        return whole(granted);
    }
    // The share keeps the part of a request that was rounded down, or a small share would lose most of it.
    auto const rate = capacity * own_demand / total_demand;
    from = std::max(from, now - std::max<base::duration>(
                                    credit_lease, base::from_seconds(std::min(1 / rate, longest_share_seconds))));
    auto const amount = whole(std::min(granted, rate * base::to_seconds(now - from)));
    from += base::from_seconds(amount / rate);
    return amount;
}

std::uint32_t credit_issuer::grant_slots(family& group, member& item, holder& asking, credit_request const& ask,
                                         base::time_point now) {
    auto const own = slots_limit(*item.published);
    if (own <= 0)
        return 0;
    auto const* head = catalogue_->find_organisation(family_of(*item.published));
    auto const head_limit = head == nullptr ? 0 : slots_limit(*head);
    auto const extra = std::floor(rest_for(group, item, head_limit, slots_limit,
                                           [](member const& other) { return static_cast<double>(other.concurrent); }));
    auto const capacity = static_cast<std::uint64_t>(own + extra);
    auto const others = item.counted - std::min<std::uint64_t>(asking.counted, item.counted);
    count_slots(asking, now);
    auto const available = capacity - std::min(others, capacity);
    std::uint64_t slots = std::min<std::uint64_t>(ask.concurrent, available);
    if (item.concurrent > capacity && item.concurrent > 0) {
        auto const share = static_cast<double>(capacity) * ask.concurrent / static_cast<double>(item.concurrent);
        slots = std::min<std::uint64_t>(slots, static_cast<std::uint64_t>(std::max(std::ceil(share), 1.0)));
    }
    // A single published entry holds all slots itself.
    if (now < cautious_until_ && catalogue_->entries().size() > 1)
        slots = std::min<std::uint64_t>(slots, ask.held);
    if (asking.leases.size() == asking.leases.capacity())
        return 0;
    // The earlier number counts until its lease ends, because the grant that lowers it can be lost.
    asking.leases.push_back({now + credit_lease, static_cast<std::uint32_t>(slots)});
    asking.counted = std::max(asking.counted, static_cast<std::uint32_t>(slots));
    item.counted = others + asking.counted;
    return static_cast<std::uint32_t>(slots);
}

void credit_issuer::count_slots(holder& item, base::time_point now) {
    std::uint32_t most = 0;
    boost::container::static_vector<slot_lease, 6> live;
    for (auto const& lease : item.leases) {
        if (lease.until <= now)
            continue;
        live.push_back(lease);
        most = std::max(most, lease.slots);
    }
    item.leases = live;
    // The member's total is corrected by refresh(); until then it is too high, never too low.
    item.counted = most;
}

void credit_issuer::refresh(member& item, base::time_point now) {
    item.demand = {};
    item.concurrent = 0;
    item.counted = 0;
    for (auto& [entry, each] : item.holders) {
        count_slots(each, now);
        item.counted += each.counted;
        if (now - each.asked_at > credit_lease) {
            each.demand = {};
            each.concurrent = 0;
        }
        for (auto const resource : rate_resources)
            item.demand.*resource += each.demand.*resource;
        item.concurrent += each.concurrent;
    }
    item.refreshed_at = now;
}

void credit_issuer::expire(base::time_point now) {
    expired_at_ = now;
    holder_count_ = 0;
    for (auto& [family_name, group] : families_) {
        for (auto& [name, item] : group.members) {
            std::erase_if(item.holders,
                          [now](auto const& entry) { return now - entry.second.asked_at > 2 * credit_lease; });
            refresh(item, now);
            holder_count_ += item.holders.size();
        }
        std::erase_if(group.members, [](auto const& entry) { return entry.second.holders.empty(); });
    }
    std::erase_if(families_, [](auto const& entry) { return entry.second.members.empty(); });
}

} // namespace cyclamenledge::limits
