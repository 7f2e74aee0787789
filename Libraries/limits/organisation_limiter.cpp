#include "limits/organisation_limiter.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenledge::limits {

namespace {

/// Weight of the newest interval in the demand.
constexpr double demand_weight = 0.5;
/// Idle states are looked for rarely, because that visits all of them (710 microseconds for 14,000).
constexpr base::seconds idle_check_interval{10};
/// Keeps the stated time in range for very small limits.
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
    // The keys of the states refer to the catalogue.
    std::unordered_map<std::string_view, state> kept;
    for (auto& [name, item] : states_) {
        item.published = published->find_organisation(name);
        if (item.published != nullptr)
            kept.emplace(item.published->name, std::move(item));
    }
    states_ = std::move(kept);
    recent_.clear();
    for (auto& [name, item] : states_) {
        if (item.listed)
            recent_.push_back(&item);
    }
    auto const* own = published->find_entry(entry_);
    position_ =
        own == nullptr ? published->entries().size() : static_cast<std::size_t>(own - published->entries().data());
    catalogue_ = std::move(published);
}

limit_decision organisation_limiter::admit(std::string_view organisation, offer_kind offer, base::time_point now) {
    auto* item = find(organisation, now);
    if (item == nullptr)
        return {limit_action::refuse, credit_lease, std::nullopt};
    item->used_at = now;
    if (offer == offer_kind::first)
        ++item->arrived.requests;
    if (is_limited(item->published->limits))
        list(*item);
    if (!is_limited(item->published->limits) || take_credit(*item, now)) {
        ++item->running;
        return {limit_action::admit, {}, std::nullopt};
    }
    ++item->waiting;
    note_silence(*item, now);
    auto const silent = item->silent;
    if (item->asking && !silent)
        return {limit_action::wait, item->asked_at + answer_timeout - now, std::nullopt};
    auto const next_ask = item->asked_at + ask_interval;
    if (now >= next_ask && !silent && !item->short_of_credit)
        return {limit_action::wait, answer_timeout, ask(*item, now)};
    if (!silent && !item->short_of_credit)
        return {limit_action::wait, next_ask - now, std::nullopt};
    if (silent && take_fallback(*item, now)) {
        ++item->running;
        return {limit_action::admit, {}, std::nullopt};
    }
    auto const later = std::max<base::duration>(next_ask - now, ask_interval);
    auto const least = silent ? base::duration{credit_lease} : later;
    return {limit_action::refuse, time_to_come_back(*item, least), std::nullopt};
}

void organisation_limiter::on_tokens(std::string_view organisation, std::uint64_t count, base::time_point now) {
    auto* item = find(organisation, now);
    if (item == nullptr)
        return;
    auto left = static_cast<double>(count);
    item->used_at = now;
    item->arrived.tokens += left;
    if (item->published->limits.tokens_per_second <= 0)
        return;
    list(*item);
    drop_expired(*item, now);
    for (auto& credit : item->batches) {
        auto const taken = std::min(credit.left.tokens, left);
        credit.left.tokens -= taken;
        left -= taken;
    }
    item->token_debt += left;
}

void organisation_limiter::on_end(std::string_view organisation, base::time_point now) {
    auto* item = find(organisation, now);
    if (item != nullptr && item->running > 0)
        --item->running;
}

void organisation_limiter::on_grant(credit_grant const& grant, base::time_point now) {
    auto const found = states_.find(grant.organisation);
    // Only the answer to the latest ask counts: an earlier one can belong to a home entry that was replaced.
    if (found == states_.end() || !found->second.asking || grant.sequence != found->second.sequence)
        return;
    auto& item = found->second;
    item.asking = false;
    item.silent = false;
    // The lease starts when the credit was asked for, so it ends here before it ends at the issuer.
    auto const until = item.asked_at + std::min<base::duration>(grant.lease, rate_credit_lifetime);
    drop_expired(item, now);
    auto credit = grant.credit;
    auto const paid = std::min(item.token_debt, credit.tokens);
    item.token_debt -= paid;
    credit.tokens -= paid;
    if (item.batches.size() == item.batches.capacity())
        item.batches.erase(item.batches.begin());
    item.batches.push_back({until, credit});
    item.slots = grant.concurrent;
    item.slots_until = item.asked_at + grant.lease;
    item.fallback = {};
    auto const& limits = item.published->limits;
    item.short_of_credit = (limits.requests_per_second > 0 && credit.requests < item.wanted_requests) ||
                           (limits.concurrent_requests > 0 && item.slots < item.wanted_slots) ||
                           (limits.tokens_per_second > 0 && unspent(item).tokens <= 0);
    item.waiting = 0;
}

std::vector<credit_request> organisation_limiter::poll(base::time_point now) {
    std::vector<credit_request> asks;
    std::erase_if(recent_, [&](state* const visited) {
        auto& item = *visited;
        bool const active = item.running > 0 || item.waiting > 0 || item.arrived.requests > 0 || item.token_debt > 0;
        item.listed = active;
        if (!active)
            return true;
        auto const since = now - item.asked_at;
        note_silence(item, now);
        bool const unanswered = item.asking && since >= answer_timeout;
        bool const needed = item.short_of_credit || item.waiting > 0 || item.token_debt > 0;
        bool const due = needed ? since >= ask_interval : since >= rate_credit_lifetime / 2;
        if (is_limited(item.published->limits) && (unanswered || (!item.asking && due)))
            asks.push_back(ask(item, now));
        return false;
    });
    if (now - dropped_idle_at_ >= idle_check_interval)
        drop_idle(now);
    return asks;
}

organisation_limiter::state* organisation_limiter::find(std::string_view organisation, base::time_point now) {
    auto const found = states_.find(organisation);
    if (found != states_.end())
        return &found->second;
    auto const* published = catalogue_->find_organisation(organisation);
    if (published == nullptr || states_.size() >= maximum_states)
        return nullptr;
    auto& item = states_[published->name];
    item.published = published;
    item.asked_at = now - credit_lease;
    return &item;
}

void organisation_limiter::list(state& item) {
    if (!std::exchange(item.listed, true))
        recent_.push_back(&item);
}

void organisation_limiter::drop_expired(state& item, base::time_point now) const {
    if (!enabled(mechanism::lease_expiry))
        return;
    while (!item.batches.empty() && item.batches.front().until <= now)
        item.batches.erase(item.batches.begin());
}

bool organisation_limiter::take_credit(state& item, base::time_point now) {
    drop_expired(item, now);
    auto const& limits = item.published->limits;
    bool const slots_held = item.slots_until > now || !enabled(mechanism::lease_expiry);
    if (limits.concurrent_requests > 0 && (!slots_held || item.running >= item.slots))
        return false;
    if (limits.tokens_per_second > 0 && (item.token_debt > 0 || unspent(item).tokens <= 0))
        return false;
    if (limits.requests_per_second <= 0)
        return true;
    for (auto& credit : item.batches) {
        if (credit.left.requests < 1)
            continue;
        credit.left.requests -= 1;
        return true;
    }
    return false;
}

void organisation_limiter::note_silence(state& item, base::time_point now) {
    if (item.silent || !item.asking || now - item.asked_at < answer_timeout)
        return;
    item.silent = true;
    item.fallback_at = now;
}

bool organisation_limiter::take_fallback(state& item, base::time_point now) {
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

void organisation_limiter::accrue_fallback(state& item, base::time_point now) const {
    if (now <= item.fallback_at)
        return;
    auto const entries = std::max<std::size_t>(catalogue_->entries().size(), 1);
    auto const span = base::to_seconds(now - item.fallback_at) * fallback_share / static_cast<double>(entries);
    auto const& limits = item.published->limits;
    auto const most = base::to_seconds(credit_lease) * fallback_share / static_cast<double>(entries);
    item.fallback.requests = std::min(item.fallback.requests + limits.requests_per_second * span,
                                      std::max(limits.requests_per_second * most, 1.0));
    item.fallback.tokens =
        std::min(item.fallback.tokens + limits.tokens_per_second * span, limits.tokens_per_second * most);
    item.fallback_at = now;
}

std::uint32_t organisation_limiter::fallback_slots(state const& item) const {
    // Whole slots are dealt to the entries in an order that differs by organisation and add up to the share exactly.
    auto const entries = catalogue_->entries().size();
    if (position_ >= entries)
        return 0;
    auto const turn = (position_ + base::hash_text(item.published->name)) % entries;
    auto const each = fallback_share * item.published->limits.concurrent_requests / static_cast<double>(entries);
    return static_cast<std::uint32_t>(std::floor(each * static_cast<double>(turn + 1) + 1e-9) -
                                      std::floor(each * static_cast<double>(turn) + 1e-9));
}

rate_amounts organisation_limiter::unspent(state const& item) const {
    rate_amounts sum;
    for (auto const& credit : item.batches) {
        sum.requests += credit.left.requests;
        sum.tokens += credit.left.tokens;
    }
    return sum;
}

credit_request organisation_limiter::ask(state& item, base::time_point now) {
    drop_expired(item, now);
    auto const elapsed = std::max(base::to_seconds(now - item.asked_at), base::to_seconds(ask_interval));
    auto const held = unspent(item);
    credit_request request;
    request.organisation = item.published->name;
    request.entry = entry_;
    request.sequence = item.sequence = next_sequence_++;
    for (auto const resource : rate_resources) {
        auto& demand = item.demand_per_second.*resource;
        demand = demand_weight * item.arrived.*resource / elapsed + (1 - demand_weight) * demand;
        auto const expected = std::max(demand * base::to_seconds(rate_credit_lifetime), item.arrived.*resource);
        request.wanted.*resource = std::max(std::ceil(expected) - held.*resource, 0.0);
        request.demand_per_second.*resource = demand;
    }
    if (item.waiting > 0)
        request.wanted.requests = std::max<double>(request.wanted.requests, item.waiting);
    // Output lengths are unknown, so a first stream asks for credit before any token has been counted.
    if (held.tokens < 1)
        request.wanted.tokens = std::max(request.wanted.tokens, 1.0) + item.token_debt;
    // Half as much again lets a burst start without a round trip.
    request.concurrent = item.running + item.waiting + item.running / 2;
    item.wanted_requests = request.wanted.requests;
    // The half on top is a convenience, and its absence does not mean that the limit is reached.
    item.wanted_slots = item.running + item.waiting;
    request.held = std::max(item.slots_until > now ? item.slots : 0, item.running);
    item.arrived = {};
    item.asked_at = now;
    item.asking = true;
    item.short_of_credit = false;
    return request;
}

void organisation_limiter::drop_idle(base::time_point now) {
    dropped_idle_at_ = now;
    auto const idle = [now](state const& item) {
        return item.running == 0 && item.token_debt <= 0 && now - item.used_at > idle_lifetime;
    };
    std::erase_if(recent_, [&](state const* item) { return idle(*item); });
    std::erase_if(states_, [&](auto const& entry) { return idle(entry.second); });
}

base::duration organisation_limiter::time_to_come_back(state const& item, base::duration least) const {
    auto const entries = std::max<std::size_t>(catalogue_->entries().size(), 1);
    auto const share = item.silent ? fallback_share / static_cast<double>(entries) : 1.0;
    auto const& limits = item.published->limits;
    double wait = 0;
    if (limits.requests_per_second > 0)
        wait = 1 / (limits.requests_per_second * share);
    if (limits.tokens_per_second > 0)
        wait = std::max(wait, item.token_debt / (limits.tokens_per_second * share));
    return std::max(least, base::from_seconds(std::min(wait, longest_retry_seconds)));
}

} // namespace cyclamenledge::limits
