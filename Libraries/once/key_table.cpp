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

key_decision decide(key_action action) {
    key_decision decision;
    decision.action = action;
    return decision;
}

key_decision answer_with(call_answer answer) {
    auto decision = decide(key_action::stored_answer);
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

key_table::key_table(key_table_options options, clock_reading start)
    : options_(std::move(options))
    , start_(start)
    , configuration_as_of_(start.steady) {}

key_decision key_table::submit(key_call const& call, key_ownership const& owners, clock_reading now) {
    auto scoped = scoped_key(call.organisation, call.key);
    if (auto* record = find(scoped))
        return decide_existing(*record, call.body_fingerprint, call.waiter);
    if (is_stale(call, now))
        return refuse(error_kind::stale_submit);
    if (auto const refusal = check_key(scoped, call.key, now))
        return refuse(*refusal);
    if (auto const refusal = check_ownership(owners, now))
        return refuse(*refusal);
    return start_call(std::move(scoped), call.body_fingerprint, call.waiter, call_intent::run, owners, now);
}

key_decision key_table::query(std::string_view organisation, idempotency_key const& key, std::uint64_t body_fingerprint,
                              waiter_id waiter, key_ownership const& owners, clock_reading now) {
    auto scoped = scoped_key(organisation, key);
    if (auto* record = find(scoped))
        return decide_existing(*record, body_fingerprint, waiter);
    if (auto const refusal = check_key(scoped, key, now))
        return refuse(*refusal);
    if (auto const refusal = check_ownership(owners, now))
        return refuse(*refusal);
    return start_call(std::move(scoped), body_fingerprint, waiter, call_intent::seal, owners, now);
}

cede_result key_table::cede(std::string_view organisation, idempotency_key const& key, std::string const& later_owner,
                            std::uint64_t question, clock_reading now) {
    auto scoped = scoped_key(organisation, key);
    auto* record = find(scoped);
    if (record == nullptr) {
        if (check_key(scoped, key, now))
            return {reply_with(question, owner_reply::unknown), {}};
        if (!is_enabled(key_mechanism::sealing))
            return {reply_with(question, owner_reply::ceded), {}};
        record = insert(std::move(scoped), key_state::ceded, now);
        if (record == nullptr)
            return {reply_with(question, owner_reply::unknown), {}};
        record->ceded_to = std::make_unique<std::string>(later_owner);
        return {reply_with(question, owner_reply::ceded), {}};
    }
    switch (record->state) {
    case key_state::asking: {
        set_state(*record, key_state::ceded, now);
        record->ceded_to = std::make_unique<std::string>(later_owner);
        return {reply_with(question, owner_reply::ceded), finish_waiters(*record, refuse(error_kind::outcome_unknown))};
    }
    case key_state::running:
        return {reply_with(question, owner_reply::running), {}};
    case key_state::done:
        if (record->answer_dropped)
            return {reply_with(question, owner_reply::unknown), {}};
        return {{owner_reply::done, question, record->body_fingerprint, *record->answer}, {}};
    case key_state::sealed:
        return {reply_with(question, owner_reply::sealed), {}};
    case key_state::ceded:
        // The key may have run at the owner that it was ceded to, which the asking owner may not know.
        return {reply_with(question, *record->ceded_to == later_owner ? owner_reply::ceded : owner_reply::unknown), {}};
    case key_state::unseen:
    case key_state::unknown:
        break;
    }
    return {reply_with(question, owner_reply::unknown), {}};
}

earlier_owner_result key_table::on_earlier_owner_answer(std::string_view scoped, std::string const& owner,
                                                        earlier_owner_answer const& answer, clock_reading now) {
    auto* record = find(scoped);
    if (record == nullptr || record->state != key_state::asking)
        return {refuse(error_kind::outcome_unknown), {}};
    auto& call = *record->active;
    if (answer.question != call.question || std::erase(call.pending_owners, owner) == 0)
        return {refuse(error_kind::protocol_error), {}};
    switch (answer.reply) {
    case owner_reply::ceded:
        break;
    case owner_reply::sealed:
        call.earlier_owner_sealed = true;
        break;
    case owner_reply::done:
        call.earlier_owner_done = true;
        call.done_answer = answer;
        break;
    case owner_reply::unknown:
        call.earlier_owner_unknown = true;
        break;
    case owner_reply::running:
    case owner_reply::unreachable:
        call.earlier_owner_unavailable = true;
        break;
    }
    if (!call.pending_owners.empty())
        return {decide(key_action::attached), {}};
    return decide_after_answers(*record, now);
}

earlier_owner_result key_table::decide_after_answers(key_record& record, clock_reading now) {
    auto& call = *record.active;
    auto decision = refuse(error_kind::outcome_unknown);
    if (call.earlier_owner_done) {
        if (call.done_answer.body_fingerprint == record.body_fingerprint || !is_enabled(key_mechanism::fingerprint))
            decision = answer_with(call.done_answer.answer);
        else
            decision = refuse(error_kind::key_reused);
        record.body_fingerprint = call.done_answer.body_fingerprint;
        store_answer(record, std::move(call.done_answer.answer));
        set_state(record, key_state::done, now);
    } else if (call.earlier_owner_unknown) {
        set_state(record, key_state::unknown, now);
    } else if (!call.earlier_owner_sealed &&
               (call.earlier_owner_unavailable || now.steady - call.asked_at > options_.limits.maximum_stamp_age)) {
        // The key did not run here and the earlier owners keep the key ceded, so a retry may ask them again. Late
        // answers count as missing, because the call would otherwise run long after it was submitted.
        auto outcomes = finish_waiters(record, decision);
        erase_record(record);
        return {std::move(decision), std::move(outcomes)};
    } else if (call.earlier_owner_sealed || call.intent == call_intent::seal) {
        set_state(record, key_state::sealed, now);
        decision = settled_decision(record);
    } else {
        set_state(record, key_state::running, now);
        return {decide(key_action::run), {}};
    }
    auto outcomes = finish_waiters(record, decision);
    return {std::move(decision), std::move(outcomes)};
}

std::vector<waiter_outcome> key_table::complete(std::string_view scoped, call_answer answer, clock_reading now) {
    auto* record = find(scoped);
    if (record == nullptr || record->state != key_state::running)
        return {};
    set_state(*record, key_state::done, now);
    auto outcomes = finish_waiters(*record, answer_with(answer));
    store_answer(*record, std::move(answer));
    return outcomes;
}

std::vector<waiter_outcome> key_table::fail(std::string_view scoped, clock_reading now) {
    auto* record = find(scoped);
    if (record == nullptr || record->state != key_state::running)
        return {};
    set_state(*record, key_state::unknown, now);
    return finish_waiters(*record, settled_decision(*record));
}

std::vector<waiter_outcome> key_table::seal_unsent(std::string_view scoped, clock_reading now) {
    auto* record = find(scoped);
    if (record == nullptr || record->state != key_state::running)
        return {};
    set_state(*record, key_state::sealed, now);
    return finish_waiters(*record, settled_decision(*record));
}

void key_table::recover(std::vector<remembered_key> const& remembered, clock_reading now) {
    for (auto const& key : remembered) {
        auto* record = find(key.scoped);
        if (record != nullptr && record->state != key_state::unknown)
            continue;
        bool const settled = key.outcome == key_state::done || key.outcome == key_state::sealed;
        auto const state = settled ? key.outcome : key_state::unknown;
        if (record == nullptr)
            record = insert(key.scoped, state, now);
        if (record == nullptr)
            continue;
        set_state(*record, state, now);
        record->body_fingerprint = key.body_fingerprint;
        if (state == key_state::done)
            store_answer(*record, key.answer);
    }
}

void key_table::on_configuration_confirmed(base::time_point as_of) {
    configuration_as_of_ = std::max(configuration_as_of_, as_of);
}

void key_table::expire(clock_reading now) {
    // The margin covers a creation time and a clock that are both off by the tolerance. The age check therefore refuses
    // a key before its record is removed.
    auto const retention = options_.limits.key_lifetime + options_.limits.creation_margin();
    while (!by_age_.empty() && now.steady - by_age_.front().retained_since > retention) {
        auto& record = by_age_.front();
        if (record.active)
            set_state(record, record.state, now);
        else
            erase_record(record);
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
    for (auto const& [scoped, record] : records_)
        ++counts.at(static_cast<std::size_t>(record.state));
    return counts;
}

base::time_point key_table::recovery_end() const {
    return start_.steady + options_.limits.key_lifetime + options_.limits.creation_margin();
}

std::vector<std::string> key_table::pending_owners(std::string_view scoped) const {
    auto const found = records_.find(scoped);
    return found == records_.end() || !found->second.active ? std::vector<std::string>{}
                                                            : found->second.active->pending_owners;
}

key_table::key_record* key_table::find(std::string_view scoped) {
    auto const found = records_.find(scoped);
    return found == records_.end() ? nullptr : &found->second;
}

key_table::key_record* key_table::insert(std::string scoped, key_state state, clock_reading now) {
    if (records_.size() >= options_.limits.maximum_keys)
        return nullptr;
    auto const position = records_.try_emplace(std::move(scoped)).first;
    auto& record = position->second;
    record.scoped = position->first;
    record.state = state;
    record.retained_since = now.steady;
    by_age_.push_back(record);
    return &record;
}

void key_table::erase_record(key_record& record) {
    if (record.answer)
        answer_bytes_ -= record.answer->body.size();
    by_age_.erase(by_age_.iterator_to(record));
    records_.erase(records_.find(record.scoped));
}

void key_table::set_state(key_record& record, key_state state, clock_reading now) {
    record.state = state;
    record.retained_since = now.steady;
    by_age_.splice(by_age_.end(), by_age_, by_age_.iterator_to(record));
}

void key_table::store_answer(key_record& record, call_answer answer) {
    record.answer_dropped = answer_bytes_ + answer.body.size() > options_.limits.maximum_answer_bytes;
    if (record.answer_dropped)
        return;
    answer_bytes_ += answer.body.size();
    record.answer = std::make_unique<call_answer>(std::move(answer));
}

bool key_table::is_stale(key_call const& call, clock_reading now) const {
    // A stamp of another incarnation comes from another steady clock, so its age cannot be computed.
    return is_enabled(key_mechanism::freshness) &&
           (call.incarnation != options_.incarnation || call.stamp > now.steady ||
            now.steady - call.stamp > options_.limits.maximum_stamp_age);
}

bool key_table::is_expired(idempotency_key const& key, clock_reading now) const {
    return key.created() && *key.created() + options_.limits.key_lifetime < now.wall;
}

bool key_table::is_future(idempotency_key const& key, clock_reading now) const {
    return is_enabled(key_mechanism::future_keys) && key.created() &&
           *key.created() > now.wall + options_.limits.clock_tolerance;
}

bool key_table::may_have_run_before_start(idempotency_key const& key, clock_reading now) const {
    auto const margin = options_.limits.creation_margin();
    if (!is_enabled(key_mechanism::recovery))
        return false;
    if (key.created())
        return *key.created() <= start_.wall + margin;
    return now.steady < recovery_end();
}

std::optional<error_kind> key_table::check_key(std::string const& scoped, idempotency_key const& key,
                                               clock_reading now) {
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

std::optional<error_kind> key_table::check_ownership(key_ownership const& owners, clock_reading now) const {
    if (owners.current != options_.target)
        return error_kind::not_owner;
    if (now.steady - configuration_as_of_ > options_.limits.maximum_configuration_age)
        return error_kind::outcome_unknown;
    // A later owner does not ask a target that its VM list shows as absent. A restarted agent therefore must not run a
    // key before every VM list shows it again.
    if (is_enabled(key_mechanism::recovery) && now.steady < start_.steady + options_.limits.vm_list_lag)
        return error_kind::outcome_unknown;
    return std::nullopt;
}

key_decision key_table::decide_existing(key_record& record, std::uint64_t body_fingerprint, waiter_id waiter) {
    bool const same_body = record.body_fingerprint == body_fingerprint || !is_enabled(key_mechanism::fingerprint);
    switch (record.state) {
    case key_state::asking:
        // A call with the other body may have run at an earlier owner, so "not run" cannot be stated yet.
        if (!same_body)
            return refuse(error_kind::outcome_unknown);
        break;
    case key_state::running:
        if (!same_body)
            return refuse(error_kind::key_reused);
        break;
    case key_state::done:
        return same_body ? settled_decision(record) : refuse(error_kind::key_reused);
    default:
        return settled_decision(record);
    }
    auto& waiters = record.active->waiters;
    if (std::find(waiters.begin(), waiters.end(), waiter) == waiters.end()) {
        if (waiters.size() >= options_.limits.maximum_waiters)
            return refuse(error_kind::outcome_unknown);
        waiters.push_back(waiter);
    }
    return decide(key_action::attached);
}

key_decision key_table::start_call(std::string scoped, std::uint64_t body_fingerprint, waiter_id waiter,
                                   call_intent intent, key_ownership const& owners, clock_reading now) {
    bool const must_ask = is_enabled(key_mechanism::earlier_owners) && !owners.earlier.empty();
    bool const seal_now = intent == call_intent::seal && !must_ask;
    if (seal_now && !is_enabled(key_mechanism::sealing))
        return refuse(error_kind::key_sealed);
    auto const active_state = must_ask ? key_state::asking : key_state::running;
    auto* record = insert(std::move(scoped), seal_now ? key_state::sealed : active_state, now);
    if (record == nullptr)
        return refuse(error_kind::outcome_unknown);
    if (seal_now)
        return settled_decision(*record);
    record->body_fingerprint = body_fingerprint;
    record->active = std::make_unique<active_call>();
    record->active->waiters.push_back(waiter);
    record->active->intent = intent;
    record->active->asked_at = now.steady;
    if (!must_ask)
        return decide(key_action::run);
    record->active->pending_owners = owners.earlier;
    record->active->question = ++last_question_;
    auto decision = decide(key_action::ask_earlier_owners);
    decision.ask = owners.earlier;
    decision.question = record->active->question;
    return decision;
}

key_decision key_table::settled_decision(key_record const& record) {
    if (record.state == key_state::done && record.answer)
        return answer_with(*record.answer);
    return refuse(record.state == key_state::sealed ? error_kind::key_sealed : error_kind::outcome_unknown);
}

std::vector<waiter_outcome> key_table::finish_waiters(key_record& record, key_decision const& decision) {
    std::vector<waiter_outcome> outcomes;
    if (record.active) {
        outcomes.reserve(record.active->waiters.size());
        for (auto const waiter : record.active->waiters)
            outcomes.push_back({waiter, decision});
        record.active.reset();
    }
    return outcomes;
}

} // namespace cyclamenledge::once
