#include "limits/organisation_limiter.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenledge::limits {

namespace {

/// Weight of the latest interval in the moving average of the demand.
constexpr double demand_weight = 0.5;
/// Interval between the removals of idle states. A removal visits all states (710 microseconds for 14,000).
constexpr base::seconds idle_check_interval{10};
/// Upper bound of `retry_after`, which keeps it in range for very small limits.
constexpr double longest_retry_seconds = 3600;

bool is_limited(catalogue::organisation_limits const& limits) {
    return limits.requests_per_second > 0 || limits.concurrent_requests > 0 || limits.tokens_per_second > 0;
}

} // namespace

organisation_limiter::organisation_limiter(std::string entry, catalogue::catalogue_pointer published)
    : entry_(std::move(entry)) {
    set_catalogue(std::move(published));
}

void organisation_limiter::set_catalogue(catalogue::catalogue_pointer published) {
    // The keys of the map refer to names in the catalogue, so the map is rebuilt for the new one.
    std::unordered_map<std::string_view, organisation_state> kept;
    for (auto& [name, item] : states_) {
        item.published = published->find_organisation(name);
        if (item.published != nullptr)
            kept.emplace(item.published->name, std::move(item));
    }
    states_ = std::move(kept);
    recent_.clear();
    for (auto& [name, item] : states_) {
        if (item.is_recent)
            recent_.push_back(&item);
    }
    auto const* own = published->find_entry(entry_);
    entry_index_ =
        own == nullptr ? published->entries().size() : static_cast<std::size_t>(own - published->entries().data());
    catalogue_ = std::move(published);
}

limit_decision organisation_limiter::admit(std::string_view organisation, offer_kind offer, base::time_point now) {
    auto* item = find(organisation, now);
    if (item == nullptr)
        return {limit_action::refuse, credit_lease, std::nullopt};
    item->last_used_at = now;
    if (offer == offer_kind::first)
        ++item->arrived.requests;
    if (is_limited(item->published->limits))
        add_to_recent(*item);
    if (!is_limited(item->published->limits) || spend_credit(*item, now)) {
        ++item->running;
        return {limit_action::admit, {}, std::nullopt};
    }
    ++item->queued;
    check_home_timeout(*item, now);
    auto const home_unresponsive = item->home_unresponsive;
    if (item->request_pending && !home_unresponsive)
        return {limit_action::wait, item->requested_at + answer_timeout - now, std::nullopt};
    auto const next_request_at = item->requested_at + request_interval;
    if (now >= next_request_at && !home_unresponsive && !item->short_of_credit)
        return {limit_action::wait, answer_timeout, make_request(*item, now)};
    if (!home_unresponsive && !item->short_of_credit)
        return {limit_action::wait, next_request_at - now, std::nullopt};
    if (home_unresponsive && spend_fallback(*item, now)) {
        ++item->running;
        return {limit_action::admit, {}, std::nullopt};
    }
    auto const later = std::max<base::duration>(next_request_at - now, request_interval);
    auto const minimum = home_unresponsive ? base::duration{credit_lease} : later;
    return {limit_action::refuse, retry_delay(*item, minimum), std::nullopt};
}

void organisation_limiter::on_tokens(std::string_view organisation, std::uint64_t count, base::time_point now) {
    auto* item = find(organisation, now);
    if (item == nullptr)
        return;
    auto uncovered = static_cast<double>(count);
    item->last_used_at = now;
    item->arrived.tokens += uncovered;
    if (item->published->limits.tokens_per_second <= 0)
        return;
    add_to_recent(*item);
    remove_expired(*item, now);
    for (auto& credit : item->batches) {
        auto const taken = std::min(credit.unspent.tokens, uncovered);
        credit.unspent.tokens -= taken;
        uncovered -= taken;
    }
    item->token_debt += uncovered;
}

void organisation_limiter::on_end(std::string_view organisation, base::time_point now) {
    auto* item = find(organisation, now);
    if (item != nullptr && item->running > 0)
        --item->running;
}

void organisation_limiter::on_grant(credit_grant const& grant, base::time_point now) {
    auto const found = states_.find(grant.organisation);
    // Only the grant for the latest request is accepted: an earlier one can come from a home entry that was replaced.
    if (found == states_.end() || !found->second.request_pending || grant.sequence != found->second.sequence)
        return;
    auto& item = found->second;
    item.request_pending = false;
    item.home_unresponsive = false;
    // The lease is counted from the time of the request, so it expires here before it expires at the issuer.
    auto const expires_at = item.requested_at + std::min<base::duration>(grant.lease, rate_credit_lifetime);
    remove_expired(item, now);
    auto credit = grant.credit;
    auto const paid = std::min(item.token_debt, credit.tokens);
    item.token_debt -= paid;
    credit.tokens -= paid;
    if (item.batches.size() == item.batches.capacity())
        item.batches.erase(item.batches.begin());
    item.batches.push_back({expires_at, credit});
    item.slots = grant.concurrent;
    item.slots_expire_at = item.requested_at + grant.lease;
    item.fallback = {};
    auto const& limits = item.published->limits;
    item.short_of_credit = (limits.requests_per_second > 0 && credit.requests < item.requested_request_credit) ||
                           (limits.concurrent_requests > 0 && item.slots < item.needed_slots) ||
                           (limits.tokens_per_second > 0 && unspent_credit(item).tokens <= 0);
    item.queued = 0;
}

std::vector<credit_request> organisation_limiter::poll(base::time_point now) {
    std::vector<credit_request> requests;
    std::erase_if(recent_, [&](organisation_state* const visited) {
        auto& item = *visited;
        bool const active = item.running > 0 || item.queued > 0 || item.arrived.requests > 0 || item.token_debt > 0;
        item.is_recent = active;
        if (!active)
            return true;
        auto const since = now - item.requested_at;
        check_home_timeout(item, now);
        bool const unanswered = item.request_pending && since >= answer_timeout;
        bool const needed = item.short_of_credit || item.queued > 0 || item.token_debt > 0;
        bool const due = needed ? since >= request_interval : since >= rate_credit_lifetime / 2;
        if (is_limited(item.published->limits) && (unanswered || (!item.request_pending && due)))
            requests.push_back(make_request(item, now));
        return false;
    });
    if (now - last_idle_check_ >= idle_check_interval)
        remove_idle(now);
    return requests;
}

organisation_limiter::organisation_state* organisation_limiter::find(std::string_view organisation,
                                                                     base::time_point now) {
    auto const found = states_.find(organisation);
    if (found != states_.end())
        return &found->second;
    auto const* published = catalogue_->find_organisation(organisation);
    if (published == nullptr || states_.size() >= maximum_states)
        return nullptr;
    auto& item = states_[published->name];
    item.published = published;
    item.requested_at = now - credit_lease;
    return &item;
}

void organisation_limiter::add_to_recent(organisation_state& item) {
    if (!std::exchange(item.is_recent, true))
        recent_.push_back(&item);
}

void organisation_limiter::remove_expired(organisation_state& item, base::time_point now) const {
    if (!enabled(mechanism::lease_expiry))
        return;
    while (!item.batches.empty() && item.batches.front().expires_at <= now)
        item.batches.erase(item.batches.begin());
}

bool organisation_limiter::spend_credit(organisation_state& item, base::time_point now) {
    remove_expired(item, now);
    auto const& limits = item.published->limits;
    bool const slots_held = item.slots_expire_at > now || !enabled(mechanism::lease_expiry);
    if (limits.concurrent_requests > 0 && (!slots_held || item.running >= item.slots))
        return false;
    if (limits.tokens_per_second > 0 && (item.token_debt > 0 || unspent_credit(item).tokens <= 0))
        return false;
    if (limits.requests_per_second <= 0)
        return true;
    for (auto& credit : item.batches) {
        if (credit.unspent.requests < 1)
            continue;
        credit.unspent.requests -= 1;
        return true;
    }
    return false;
}

void organisation_limiter::check_home_timeout(organisation_state& item, base::time_point now) {
    if (item.home_unresponsive || !item.request_pending || now - item.requested_at < answer_timeout)
        return;
    item.home_unresponsive = true;
    item.fallback_at = now;
}

bool organisation_limiter::spend_fallback(organisation_state& item, base::time_point now) {
    if (!enabled(mechanism::fallback_bound))
        return true;
    accrue_fallback(item, now);
    auto const& limits = item.published->limits;
    if (limits.concurrent_requests > 0 && item.running >= fallback_slots(item))
        return false;
    if (limits.tokens_per_second > 0) {
        auto const paid = std::min(item.token_debt, item.fallback.tokens);
        item.token_debt -= paid;
        item.fallback.tokens -= paid;
        if (item.token_debt > 0 || item.fallback.tokens <= 0)
            return false;
    }
    if (limits.requests_per_second > 0) {
        if (item.fallback.requests < 1)
            return false;
        item.fallback.requests -= 1;
    }
    return true;
}

void organisation_limiter::accrue_fallback(organisation_state& item, base::time_point now) const {
    if (now <= item.fallback_at)
        return;
    auto const entries = std::max<std::size_t>(catalogue_->entries().size(), 1);
    auto const span = base::to_seconds(now - item.fallback_at) * fallback_share / static_cast<double>(entries);
    auto const& limits = item.published->limits;
    auto const depth = base::to_seconds(credit_lease) * fallback_share / static_cast<double>(entries);
    item.fallback.requests = std::min(item.fallback.requests + limits.requests_per_second * span,
                                      std::max(limits.requests_per_second * depth, 1.0));
    item.fallback.tokens =
        std::min(item.fallback.tokens + limits.tokens_per_second * span, limits.tokens_per_second * depth);
    item.fallback_at = now;
}

std::uint32_t organisation_limiter::fallback_slots(organisation_state const& item) const {
    // Whole slots are distributed over the entries, starting at an entry that depends on the organisation. Their sum
    // over all entries equals the share.
    auto const entries = catalogue_->entries().size();
    if (entry_index_ >= entries)
        return 0;
    auto const rank = (entry_index_ + base::hash_text(item.published->name)) % entries;
    auto const each = fallback_share * item.published->limits.concurrent_requests / static_cast<double>(entries);
    return static_cast<std::uint32_t>(std::floor(each * static_cast<double>(rank + 1) + 1e-9) -
                                      std::floor(each * static_cast<double>(rank) + 1e-9));
}

rate_amounts organisation_limiter::unspent_credit(organisation_state const& item) const {
    rate_amounts sum;
    for (auto const& credit : item.batches) {
        sum.requests += credit.unspent.requests;
        sum.tokens += credit.unspent.tokens;
    }
    return sum;
}

credit_request organisation_limiter::make_request(organisation_state& item, base::time_point now) {
    remove_expired(item, now);
    auto const elapsed = std::max(base::to_seconds(now - item.requested_at), base::to_seconds(request_interval));
    auto const held = unspent_credit(item);
    credit_request request;
    request.organisation = item.published->name;
    request.entry = entry_;
    request.sequence = item.sequence = next_sequence_++;
    for (auto const resource : rate_resources) {
        auto& demand = item.demand_per_second.*resource;
        demand = demand_weight * item.arrived.*resource / elapsed + (1 - demand_weight) * demand;
        auto const expected = std::max(demand * base::to_seconds(rate_credit_lifetime), item.arrived.*resource);
        request.requested.*resource = std::max(std::ceil(expected) - held.*resource, 0.0);
        request.demand_per_second.*resource = demand;
    }
    if (item.queued > 0)
        request.requested.requests = std::max<double>(request.requested.requests, item.queued);
    // The output length of a stream is unknown, so credit is requested before its first token has been counted.
    if (held.tokens < 1)
        request.requested.tokens = std::max(request.requested.tokens, 1.0) + item.token_debt;
    // A reserve of half the running requests lets a burst start without a round trip to the home entry.
    request.concurrent = item.running + item.queued + item.running / 2;
    item.requested_request_credit = request.requested.requests;
    // The reserve is not included, because a grant without it does not mean that the limit is reached.
    item.needed_slots = item.running + item.queued;
    request.held_slots = std::max(item.slots_expire_at > now ? item.slots : 0, item.running);
    item.arrived = {};
    item.requested_at = now;
    item.request_pending = true;
    item.short_of_credit = false;
    return request;
}

void organisation_limiter::remove_idle(base::time_point now) {
    last_idle_check_ = now;
    auto const idle = [now](organisation_state const& item) {
        return item.running == 0 && item.token_debt <= 0 && now - item.last_used_at > idle_lifetime;
    };
    std::erase_if(recent_, [&](organisation_state const* item) { return idle(*item); });
    std::erase_if(states_, [&](auto const& entry) { return idle(entry.second); });
}

base::duration organisation_limiter::retry_delay(organisation_state const& item, base::duration minimum) const {
    auto const entries = std::max<std::size_t>(catalogue_->entries().size(), 1);
    auto const share = item.home_unresponsive ? fallback_share / static_cast<double>(entries) : 1.0;
    auto const& limits = item.published->limits;
    double wait = 0;
    if (limits.requests_per_second > 0)
        wait = 1 / (limits.requests_per_second * share);
    if (limits.tokens_per_second > 0)
        wait = std::max(wait, item.token_debt / (limits.tokens_per_second * share));
    return std::max(minimum, base::from_seconds(std::min(wait, longest_retry_seconds)));
}

} // namespace cyclamenledge::limits
