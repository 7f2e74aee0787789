#include "once/key_table.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::once {

using base::error_kind;

namespace {

key_decision refuse(error_kind kind) {
    key_decision decision;
    decision.refusal = kind;
    return decision;
}

key_decision act(key_action action) {
    key_decision decision;
    decision.action = action;
    return decision;
}

key_decision stored(call_answer answer) {
    auto decision = act(key_action::stored_answer);
    decision.answer = std::move(answer);
    return decision;
}

earlier_owner_answer reply_with(std::uint64_t question, owner_reply reply) {
    earlier_owner_answer answer;
    answer.question = question;
    answer.reply = reply;
    return answer;
}

} // namespace

std::size_t key_table::text_hash::operator()(std::string_view text) const {
    return base::hash_text(text);
}

key_table::key_table(key_table_options options, moment start)
    : options_(std::move(options))
    , start_(start)
    , configuration_as_of_(start.steady) {}

key_decision key_table::submit(key_call const& call, key_ownership const& owners, moment now) {
    auto scoped = scoped_key(call.organisation, call.key);
    if (auto* item = find(scoped))
        return known(*item, call.body_fingerprint, call.from);
    if (is_stale(call, now))
        return refuse(error_kind::stale_submit);
    if (auto const refusal = unusable(scoped, call.key, now))
        return refuse(*refusal);
    if (auto const refusal = not_the_owner(owners, now))
        return refuse(*refusal);
    return open(std::move(scoped), call.body_fingerprint, call.from, purpose::run, owners, now);
}

key_decision key_table::query(std::string_view organisation, idempotency_key const& key, std::uint64_t body_fingerprint,
                              waiter from, key_ownership const& owners, moment now) {
    auto scoped = scoped_key(organisation, key);
    if (auto* item = find(scoped))
        return known(*item, body_fingerprint, from);
    if (auto const refusal = unusable(scoped, key, now))
        return refuse(*refusal);
    if (auto const refusal = not_the_owner(owners, now))
        return refuse(*refusal);
    return open(std::move(scoped), body_fingerprint, from, purpose::seal, owners, now);
}

cession key_table::cede(std::string_view organisation, idempotency_key const& key, std::string const& to,
                        std::uint64_t question, moment now) {
    auto scoped = scoped_key(organisation, key);
    auto* item = find(scoped);
    if (item == nullptr) {
        if (unusable(scoped, key, now))
            return {reply_with(question, owner_reply::unknown), {}};
        if (!uses(key_mechanism::sealing))
            return {reply_with(question, owner_reply::ceded), {}};
        item = insert(std::move(scoped), key_state::ceded, now);
        if (item == nullptr)
            return {reply_with(question, owner_reply::unknown), {}};
        item->ceded_to = std::make_unique<std::string>(to);
        return {reply_with(question, owner_reply::ceded), {}};
    }
    switch (item->state) {
    case key_state::asking: {
        settle(*item, key_state::ceded, now);
        item->ceded_to = std::make_unique<std::string>(to);
        return {reply_with(question, owner_reply::ceded), close(*item, refuse(error_kind::outcome_unknown))};
    }
    case key_state::running:
        return {reply_with(question, owner_reply::running), {}};
    case key_state::done:
        if (item->answer_dropped)
            return {reply_with(question, owner_reply::unknown), {}};
        return {{owner_reply::done, question, item->body_fingerprint, *item->answer}, {}};
    case key_state::sealed:
        return {reply_with(question, owner_reply::sealed), {}};
    case key_state::ceded:
        // Another later owner may have run the key, and the asking one may not know that owner.
        return {reply_with(question, *item->ceded_to == to ? owner_reply::ceded : owner_reply::unknown), {}};
    case key_state::unseen:
    case key_state::unknown:
        break;
    }
    return {reply_with(question, owner_reply::unknown), {}};
}

key_event key_table::on_earlier_owner_answer(std::string_view scoped, std::string const& owner,
                                             earlier_owner_answer const& answer, moment now) {
    auto* item = find(scoped);
    if (item == nullptr || item->state != key_state::asking)
        return {refuse(error_kind::outcome_unknown), {}};
    auto& call = *item->open;
    if (answer.question != call.question || std::erase(call.to_answer, owner) == 0)
        return {refuse(error_kind::protocol_error), {}};
    switch (answer.reply) {
    case owner_reply::ceded:
        break;
    case owner_reply::sealed:
        call.sealed_earlier = true;
        break;
    case owner_reply::done:
        call.done_earlier = true;
        call.done = answer;
        break;
    case owner_reply::unknown:
        call.unknown_earlier = true;
        break;
    case owner_reply::running:
    case owner_reply::unreachable:
        call.unavailable_earlier = true;
        break;
    }
    if (!call.to_answer.empty())
        return {act(key_action::attached), {}};
    return resolve(*item, now);
}

key_event key_table::resolve(record& item, moment now) {
    auto& call = *item.open;
    auto decision = refuse(error_kind::outcome_unknown);
    if (call.done_earlier) {
        if (call.done.body_fingerprint == item.body_fingerprint || !uses(key_mechanism::fingerprint))
            decision = stored(call.done.answer);
        else
            decision = refuse(error_kind::key_reused);
        item.body_fingerprint = call.done.body_fingerprint;
        store(item, std::move(call.done.answer));
        settle(item, key_state::done, now);
    } else if (call.unknown_earlier) {
        settle(item, key_state::unknown, now);
    } else if (!call.sealed_earlier &&
               (call.unavailable_earlier || now.steady - call.asked > options_.limits.freshness)) {
        // Nothing ran here and the earlier owners keep what they ceded, so a repetition may ask them again. Answers
        // that took too long count as missing, since the call would otherwise run long after its submit.
        auto outcomes = close(item, decision);
        forget(item);
        return {std::move(decision), std::move(outcomes)};
    } else if (call.sealed_earlier || call.reason == purpose::seal) {
        settle(item, key_state::sealed, now);
        decision = outcome(item);
    } else {
        settle(item, key_state::running, now);
        return {act(key_action::run), {}};
    }
    auto outcomes = close(item, decision);
    return {std::move(decision), std::move(outcomes)};
}

std::vector<waiter_outcome> key_table::complete(std::string_view scoped, call_answer answer, moment now) {
    auto* item = find(scoped);
    if (item == nullptr || item->state != key_state::running)
        return {};
    settle(*item, key_state::done, now);
    auto outcomes = close(*item, stored(answer));
    store(*item, std::move(answer));
    return outcomes;
}

std::vector<waiter_outcome> key_table::fail(std::string_view scoped, moment now) {
    auto* item = find(scoped);
    if (item == nullptr || item->state != key_state::running)
        return {};
    settle(*item, key_state::unknown, now);
    return close(*item, outcome(*item));
}

std::vector<waiter_outcome> key_table::withdraw(std::string_view scoped, moment now) {
    auto* item = find(scoped);
    if (item == nullptr || item->state != key_state::running)
        return {};
    settle(*item, key_state::sealed, now);
    return close(*item, outcome(*item));
}

void key_table::recover(std::vector<remembered_key> const& remembered, moment now) {
    for (auto const& key : remembered) {
        auto* item = find(key.scoped);
        if (item != nullptr && item->state != key_state::unknown)
            continue;
        bool const settled = key.outcome == key_state::done || key.outcome == key_state::sealed;
        auto const state = settled ? key.outcome : key_state::unknown;
        if (item == nullptr)
            item = insert(key.scoped, state, now);
        if (item == nullptr)
            continue;
        settle(*item, state, now);
        item->body_fingerprint = key.body_fingerprint;
        if (state == key_state::done)
            store(*item, key.answer);
    }
}

void key_table::on_configuration_confirmed(base::time_point as_of) {
    configuration_as_of_ = std::max(configuration_as_of_, as_of);
}

void key_table::expire(moment now) {
    // The margin covers a creation time and a clock that are both off by the tolerance, so that the age check refuses
    // the key before its record is forgotten.
    auto const kept = options_.limits.key_lifetime + options_.limits.creation_margin();
    while (!by_age_.empty() && now.steady - by_age_.front().kept_from > kept) {
        auto& item = by_age_.front();
        if (item.open)
            settle(item, item.state, now);
        else
            forget(item);
    }
}

key_state key_table::state_of(std::string_view scoped) const {
    auto const found = records_.find(scoped);
    return found == records_.end() ? key_state::unseen : found->second.state;
}

call_answer const* key_table::answer_of(std::string_view scoped) const {
    auto const found = records_.find(scoped);
    return found != records_.end() && found->second.state == key_state::done ? found->second.answer.get() : nullptr;
}

std::array<std::size_t, key_state_count> key_table::counts() const {
    std::array<std::size_t, key_state_count> counts{};
    for (auto const& [scoped, item] : records_)
        ++counts.at(static_cast<std::size_t>(item.state));
    return counts;
}

base::time_point key_table::recovery_end() const {
    return start_.steady + options_.limits.key_lifetime + options_.limits.creation_margin();
}

std::vector<std::string> key_table::owners_to_answer(std::string_view scoped) const {
    auto const found = records_.find(scoped);
    return found == records_.end() || !found->second.open ? std::vector<std::string>{} : found->second.open->to_answer;
}

key_table::record* key_table::find(std::string_view scoped) {
    auto const found = records_.find(scoped);
    return found == records_.end() ? nullptr : &found->second;
}

key_table::record* key_table::insert(std::string scoped, key_state state, moment now) {
    if (records_.size() >= options_.limits.maximum_keys)
        return nullptr;
    auto const place = records_.try_emplace(std::move(scoped)).first;
    auto& item = place->second;
    item.scoped = place->first;
    item.state = state;
    item.kept_from = now.steady;
    by_age_.push_back(item);
    return &item;
}

void key_table::forget(record& item) {
    if (item.answer)
        answer_bytes_ -= item.answer->body.size();
    by_age_.erase(by_age_.iterator_to(item));
    records_.erase(records_.find(item.scoped));
}

void key_table::settle(record& item, key_state state, moment now) {
    item.state = state;
    item.kept_from = now.steady;
    by_age_.splice(by_age_.end(), by_age_, by_age_.iterator_to(item));
}

void key_table::store(record& item, call_answer answer) {
    item.answer_dropped = answer_bytes_ + answer.body.size() > options_.limits.maximum_answer_bytes;
    if (item.answer_dropped)
        return;
    answer_bytes_ += answer.body.size();
    item.answer = std::make_unique<call_answer>(std::move(answer));
}

bool key_table::is_stale(key_call const& call, moment now) const {
    // Stamps of another incarnation come from another clock, so their age means nothing here.
    return uses(key_mechanism::freshness) && (call.incarnation != options_.incarnation || call.stamp > now.steady ||
                                              now.steady - call.stamp > options_.limits.freshness);
}

bool key_table::is_expired(idempotency_key const& key, moment now) const {
    return key.created() && *key.created() + options_.limits.key_lifetime < now.wall;
}

bool key_table::is_future(idempotency_key const& key, moment now) const {
    return uses(key_mechanism::future_keys) && key.created() &&
           *key.created() > now.wall + options_.limits.clock_tolerance;
}

bool key_table::may_have_run_before_start(idempotency_key const& key, moment now) const {
    auto const margin = options_.limits.creation_margin();
    if (!uses(key_mechanism::recovery))
        return false;
    if (key.created())
        return *key.created() <= start_.wall + margin;
    return now.steady < recovery_end();
}

std::optional<error_kind> key_table::unusable(std::string const& scoped, idempotency_key const& key, moment now) {
    if (is_future(key, now))
        return error_kind::key_from_future;
    if (is_expired(key, now))
        return error_kind::key_expired;
    if (may_have_run_before_start(key, now)) {
        insert(scoped, key_state::unknown, now);
        return error_kind::outcome_unknown;
    }
    return std::nullopt;
}

std::optional<error_kind> key_table::not_the_owner(key_ownership const& owners, moment now) const {
    if (owners.current != options_.target)
        return error_kind::not_owner;
    if (now.steady - configuration_as_of_ > options_.limits.configuration_age)
        return error_kind::outcome_unknown;
    // A later owner does not ask a target that its VM list shows as absent, so an agent that has just returned must not
    // run a key before every list shows it again.
    if (uses(key_mechanism::recovery) && now.steady < start_.steady + options_.limits.vm_list_lag)
        return error_kind::outcome_unknown;
    return std::nullopt;
}

key_decision key_table::known(record& item, std::uint64_t body_fingerprint, waiter from) {
    bool const same_body = item.body_fingerprint == body_fingerprint || !uses(key_mechanism::fingerprint);
    switch (item.state) {
    case key_state::asking:
        // The other body may have run at an earlier owner, so a mismatch does not support "not run" yet.
        if (!same_body)
            return refuse(error_kind::outcome_unknown);
        break;
    case key_state::running:
        if (!same_body)
            return refuse(error_kind::key_reused);
        break;
    case key_state::done:
        return same_body ? outcome(item) : refuse(error_kind::key_reused);
    default:
        return outcome(item);
    }
    auto& waiters = item.open->waiters;
    if (std::find(waiters.begin(), waiters.end(), from) == waiters.end()) {
        if (waiters.size() >= options_.limits.maximum_waiters)
            return refuse(error_kind::outcome_unknown);
        waiters.push_back(from);
    }
    return act(key_action::attached);
}

key_decision key_table::open(std::string scoped, std::uint64_t body_fingerprint, waiter from, purpose reason,
                             key_ownership const& owners, moment now) {
    bool const ask = uses(key_mechanism::earlier_owners) && !owners.earlier.empty();
    bool const seal = reason == purpose::seal && !ask;
    if (seal && !uses(key_mechanism::sealing))
        return refuse(error_kind::key_sealed);
    auto const opened = ask ? key_state::asking : key_state::running;
    auto* item = insert(std::move(scoped), seal ? key_state::sealed : opened, now);
    if (item == nullptr)
        return refuse(error_kind::outcome_unknown);
    if (seal)
        return outcome(*item);
    item->body_fingerprint = body_fingerprint;
    item->open = std::make_unique<open_call>();
    item->open->waiters.push_back(from);
    item->open->reason = reason;
    item->open->asked = now.steady;
    if (!ask)
        return act(key_action::run);
    item->open->to_answer = owners.earlier;
    item->open->question = ++questions_;
    auto decision = act(key_action::ask_earlier_owners);
    decision.ask = owners.earlier;
    decision.question = item->open->question;
    return decision;
}

key_decision key_table::outcome(record const& item) {
    if (item.state == key_state::done && item.answer)
        return stored(*item.answer);
    return refuse(item.state == key_state::sealed ? error_kind::key_sealed : error_kind::outcome_unknown);
}

std::vector<waiter_outcome> key_table::close(record& item, key_decision const& decision) {
    std::vector<waiter_outcome> outcomes;
    if (item.open) {
        outcomes.reserve(item.open->waiters.size());
        for (auto const to : item.open->waiters)
            outcomes.push_back({to, decision});
        item.open.reset();
    }
    return outcomes;
}

} // namespace cyclamenledge::once
