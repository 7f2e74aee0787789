#include "agent/call_controller.h"

#include "log/logger.h"
#include "once/key_owner.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenledge::agent {

namespace asio = boost::asio;
using base::error_kind;

namespace {

constexpr base::milliseconds watch_interval{500};
// An answer of an earlier owner that takes longer than maximum_stamp_age (5 s) counts as missing in the key table.
constexpr base::milliseconds ask_patience{4000};
constexpr base::milliseconds ask_poll{20};
constexpr base::milliseconds come_back{1000};
// A keyed call may take long at the service; its entry gives up by itself at the deadline of the caller.
constexpr base::milliseconds keyed_patience{120000};
constexpr base::milliseconds plain_patience{30000};

once::clock_reading now() {
    return {base::clock::now(), std::chrono::floor<base::milliseconds>(std::chrono::system_clock::now())};
}

base::time_point time_of(std::uint64_t stamp) {
    return base::time_point{base::milliseconds{static_cast<std::int64_t>(stamp)}};
}

std::unique_ptr<wire::schema::HeaderT> make_header(std::string_view name, std::string value) {
    auto header = std::make_unique<wire::schema::HeaderT>();
    header->name = name;
    header->value = std::move(value);
    return header;
}

template <class Message>
void set_failure(Message& message, base::error const& reason) {
    message.failed = true;
    message.error = static_cast<std::uint8_t>(reason.kind);
    message.message = reason.message;
    message.retry_after_ms = static_cast<std::uint32_t>(reason.retry_after.value_or(base::milliseconds{0}).count());
}

template <class Message>
void set_answer(Message& message, unsigned status, std::string const& content_type, std::string const& body) {
    message.status = status;
    if (!content_type.empty())
        message.headers.push_back(make_header("Content-Type", content_type));
    message.body.assign(body.begin(), body.end());
}

void send_refusal(link::connection& to, wire::schema::SubmitCallT const& call, base::error const& reason) {
    wire::schema::CallAnswerT message;
    message.attempt = call.attempt;
    message.key = call.key;
    message.fingerprint = call.fingerprint;
    set_failure(message, reason);
    to.send(message);
}

base::error overload() {
    return base::make_error(error_kind::overloaded, "the target runs as many calls as it may", come_back);
}

base::error refusal_of(once::key_decision const& decision) {
    if (decision.refusal == error_kind::outcome_unknown)
        return base::make_error(decision.refusal, "the owner of the key cannot tell whether the call ran", come_back);
    return base::make_error(decision.refusal, "refused by the owner of the key");
}

once::key_state state_after(once::key_decision const& decision) {
    if (decision.action == once::key_action::stored_answer)
        return once::key_state::done;
    return decision.refusal == error_kind::key_sealed ? once::key_state::sealed : once::key_state::unknown;
}

template <class Message>
void send_decision(call_waiter const& to, once::key_decision const& decision) {
    Message message;
    message.attempt = to.attempt;
    message.key = to.key;
    message.fingerprint = to.fingerprint;
    if constexpr (requires { message.state; })
        message.state = static_cast<std::uint8_t>(state_after(decision));
    if (decision.action == once::key_action::stored_answer)
        set_answer(message, decision.answer.status, decision.answer.content_type, decision.answer.body);
    else
        set_failure(message, refusal_of(decision));
    to.connection->send(message);
}

once::remembered_key to_remembered(wire::schema::RememberedKeyT const& item, once::idempotency_key const& key) {
    auto const state =
        item.state < once::key_state_count ? static_cast<once::key_state>(item.state) : once::key_state::unknown;
    return {once::scoped_key(item.organisation, key),
            item.fingerprint,
            state,
            {item.status, std::string(item.body.begin(), item.body.end()), item.content_type}};
}

} // namespace

call_controller::call_controller(process::runtime& daemon, blackboard& board, service_client const& service)
    : daemon_(daemon)
    , board_(board)
    , service_(service)
    , strand_(asio::make_strand(daemon.context())) {}

void call_controller::start(catalogue::service const& served) {
    service_name_ = served.name;
    limits_.key_lifetime = served.key_lifetime;
    once::key_table_options options;
    options.target = daemon_.settings().name;
    options.incarnation = daemon_.identity().incarnation;
    options.limits = limits_;
    board_.calls.with([&](call_table& table) { table.keys.emplace(std::move(options), now()); });
    log::write(log::event_kind::key_recovery_started, {{"lifetime_seconds", limits_.key_lifetime.count()}});

    auto& hub = daemon_.hub();
    hub.handle<wire::schema::SubmitCallT>(
        [this](link::connection& source, auto message) { submit(source, std::move(message)); });
    hub.handle<wire::schema::QueryKeyT>(
        [this](link::connection& source, auto const& message) { query(source, message); });
    hub.handle<wire::schema::RememberedKeysT>([this](link::connection&, auto const& message) { remember(message); });
    hub.handle<wire::schema::OwnerQuestionT>(
        [this](link::connection& source, auto const& message) { cede(source, message); });
    hub.handle<wire::schema::OwnerReplyT>(
        [this](link::connection& source, auto message) { take_reply(source, std::move(message)); });
    hub.add_observer(*this);
    asio::co_spawn(strand_, watch_service(), asio::detached);
}

asio::awaitable<void> call_controller::watch_service() {
    asio::steady_timer timer{strand_};
    bool reachable = true;
    while (true) {
        bool const up = co_await service_.reachable();
        board_.target.with([&](target_view& view) { view.reachable = up; });
        if (up != reachable)
            log::write(up ? log::event_kind::target_reachable : log::event_kind::target_unreachable);
        reachable = up;
        board_.calls.with([&](call_table& table) { table.keys->expire(now()); });
        timer.expires_after(watch_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::optional<base::error> call_controller::refusal_reason() const {
    auto const published = board_.target.with([](target_view const& view) { return view.catalogue; });
    auto const* self = published->find_target(daemon_.settings().name);
    if (self == nullptr || !published->in_service(*self))
        return base::make_error(error_kind::out_of_service, "the target is out of service", come_back);
    if (daemon_.drain_state() >= membership::drain_state::refusing)
        return base::make_error(error_kind::leaving, "the agent is stopping", come_back);
    return std::nullopt;
}

std::uint32_t call_controller::running_bound() const {
    auto const published = board_.target.with([](target_view const& view) { return view.catalogue; });
    auto const* self = published->find_target(daemon_.settings().name);
    return self == nullptr ? 0 : self->maximum_running;
}

once::key_ownership call_controller::owners_of(std::string_view organisation, once::idempotency_key const& key) const {
    auto const published = board_.target.with([](target_view const& view) { return view.catalogue; });
    auto const* service = published->find_service(service_name_);
    if (service == nullptr)
        return {};
    return once::key_owner(service->key_owners, limits_).owners_of(organisation, key, now().wall);
}

void call_controller::submit(link::connection& source, wire::schema::SubmitCallT message) {
    auto const call = std::make_shared<wire::schema::SubmitCallT const>(std::move(message));
    if (call->idempotent)
        submit_plain(source, call);
    else
        submit_keyed(source, call);
}

void call_controller::submit_plain(link::connection& source, call_message call) {
    auto reason = refusal_reason();
    auto const bound = running_bound();
    bool const room = board_.calls.with([&](call_table& table) {
        bool const free = !reason && table.running < bound;
        table.running += free ? 1 : 0;
        return free;
    });
    if (!reason && !room)
        reason = overload();
    if (room && !daemon_.begin_request()) {
        board_.calls.with([](call_table& table) { --table.running; });
        reason = base::make_error(error_kind::leaving, "the agent is stopping", come_back);
    }
    if (reason) {
        send_refusal(source, *call, *reason);
        return;
    }
    asio::co_spawn(asio::make_strand(daemon_.context()), run_plain(link::connection_pointer{&source}, std::move(call)),
                   asio::detached);
}

asio::awaitable<void> call_controller::run_plain(link::connection_pointer source, call_message call) {
    process::request_guard const guard{daemon_};
    auto const patience = call->remaining_ms > 0 ? base::milliseconds{call->remaining_ms} : plain_patience;
    http::send_permission const always;
    auto answer = co_await service_.call(*call, patience, always);
    board_.calls.with([](call_table& table) { --table.running; });
    if (!answer) {
        send_refusal(*source, *call, base::make_error(error_kind::target_failed, answer.error().cause.message));
        co_return;
    }
    wire::schema::CallAnswerT message;
    message.attempt = call->attempt;
    message.key = call->key;
    message.fingerprint = call->fingerprint;
    set_answer(message, answer.value().status, answer.value().content_type, answer.value().body);
    if (!answer.value().location.empty())
        message.headers.push_back(make_header("Location", answer.value().location));
    source->send(message);
}

void call_controller::submit_keyed(link::connection& source, call_message call) {
    auto key = once::idempotency_key::parse(call->key);
    if (!key) {
        send_refusal(source, *call, key.error());
        return;
    }
    call_waiter const from{link::connection_pointer{&source}, call->attempt, call->key, call->fingerprint,
                           waiter_kind::submit};
    once::key_call const offered{call->organisation, key.value(), call->fingerprint, call->incarnation,
                                 time_of(call->stamp_echo)};
    auto const made = offer(offered, from, call);
    if (made.refusal) {
        log::write(log::event_kind::key_refused, {{"kind", base::name_of(made.refusal->kind)}});
        send_refusal(source, *call, *made.refusal);
        return;
    }
    wire::schema::OwnerQuestionT question;
    question.organisation = call->organisation;
    question.key = key.value().text();
    act(once::scoped_key(call->organisation, key.value()), made, from, call, std::move(question));
}

call_controller::verdict call_controller::offer(once::key_call const& offered, call_waiter const& from,
                                                call_message const& call) {
    auto const scoped = once::scoped_key(offered.organisation, offered.key);
    auto const owners = owners_of(offered.organisation, offered.key);
    auto const bound = running_bound();
    verdict made;
    made.refusal = refusal_reason();
    bool const counted = daemon_.begin_request();
    if (!counted && !made.refusal)
        made.refusal = base::make_error(error_kind::leaving, "the agent is stopping", come_back);
    board_.calls.with([&](call_table& table) {
        // Refused new work leaves an unseen key unseen: it does not run, and nothing is stated about it. Keys that are
        // known are answered whatever the state of the target.
        if (table.keys->state_of(scoped) != once::key_state::unseen)
            made.refusal.reset();
        else if (!made.refusal && table.running >= bound)
            made.refusal = overload();
        if (made.refusal)
            return;
        auto placed = offered;
        made.waiter = placed.waiter = ++table.last_waiter;
        made.decision = table.keys->submit(placed, owners, now());
        if (made.decision.action == once::key_action::run)
            ++table.running;
        open(table, scoped, made, from, {call, counted});
    });
    if (counted && !made.opened)
        daemon_.end_request();
    return made;
}

void call_controller::open(call_table& table, std::string const& scoped, verdict& made, call_waiter const& from,
                           open_key item) {
    using once::key_action;
    auto const action = made.decision.action;
    if (action == key_action::run || action == key_action::ask_earlier_owners)
        made.opened = table.open.emplace(scoped, std::move(item)).second;
    if (made.opened || action == key_action::attached)
        table.waiters.emplace(made.waiter, from);
}

void call_controller::query(link::connection& source, wire::schema::QueryKeyT const& message) {
    call_waiter const from{link::connection_pointer{&source}, message.attempt, message.key, message.fingerprint,
                           waiter_kind::query};
    auto const key = once::idempotency_key::parse(message.key);
    if (!key) {
        once::key_decision refused;
        refused.refusal = key.error().kind;
        deliver(from, refused);
        return;
    }
    auto const scoped = once::scoped_key(message.organisation, key.value());
    if (message.inquiry) {
        report_state(from, scoped);
        return;
    }
    wire::schema::OwnerQuestionT question;
    question.organisation = message.organisation;
    question.key = key.value().text();
    act(scoped, ask_state(message, key.value(), from), from, nullptr, std::move(question));
}

call_controller::verdict call_controller::ask_state(wire::schema::QueryKeyT const& message,
                                                    once::idempotency_key const& key, call_waiter const& from) {
    auto const scoped = once::scoped_key(message.organisation, key);
    auto const owners = owners_of(message.organisation, key);
    bool const counted = daemon_.begin_request();
    verdict made;
    board_.calls.with([&](call_table& table) {
        made.waiter = ++table.last_waiter;
        bool const unseen = table.keys->state_of(scoped) == once::key_state::unseen;
        made.decision = table.keys->query(message.organisation, key, message.fingerprint, made.waiter, owners, now());
        made.sealed = unseen && table.keys->state_of(scoped) == once::key_state::sealed;
        open(table, scoped, made, from, {nullptr, counted});
    });
    if (counted && !made.opened)
        daemon_.end_request();
    return made;
}

void call_controller::act(std::string const& scoped, verdict const& made, call_waiter const& from,
                          call_message const& call, wire::schema::OwnerQuestionT question) {
    using once::key_action;
    if (made.sealed)
        daemon_.metrics().add(metrics::counter_kind::keys_sealed);
    switch (made.decision.action) {
    case key_action::stored_answer:
        daemon_.metrics().add(metrics::counter_kind::keyed_calls_joined);
        [[fallthrough]];
    case key_action::refuse:
        deliver(from, made.decision);
        break;
    case key_action::attached:
        daemon_.metrics().add(metrics::counter_kind::keyed_calls_joined);
        break;
    case key_action::run:
        asio::co_spawn(asio::make_strand(daemon_.context()), run_keyed(scoped, call), asio::detached);
        break;
    case key_action::ask_earlier_owners:
        question.service = service_name_;
        question.question = made.decision.question;
        for (auto const& owner : made.decision.ask)
            asio::co_spawn(asio::make_strand(daemon_.context()), ask(scoped, owner, question), asio::detached);
        break;
    }
}

asio::awaitable<void> call_controller::run_keyed(std::string scoped, call_message call) {
    auto const may_send = [call, this]() -> base::result<void> {
        // The process may have been paused since the call was accepted, or the question to earlier owners took long.
        if (base::clock::now() - time_of(call->stamp_echo) > limits_.maximum_stamp_age)
            return base::make_error(error_kind::stale_submit, "the call was held back for too long");
        return base::success();
    };
    auto answer = co_await service_.call(*call, keyed_patience, may_send);
    finish(scoped, std::move(answer));
}

void call_controller::finish(std::string const& scoped, http::client_result<service_answer> answer) {
    bool const not_sent = !answer && answer.error().progress == http::request_progress::not_sent;
    if (!not_sent)
        daemon_.metrics().add(metrics::counter_kind::keyed_calls_run);
    if (!answer)
        log::write(not_sent ? log::event_kind::key_refused : log::event_kind::key_unknown,
                   {{"reason", answer.error().cause.message}});
    bool ended = false;
    auto const outcomes = board_.calls.with([&](call_table& table) {
        --table.running;
        std::vector<once::waiter_outcome> result;
        if (answer) {
            auto& value = answer.value();
            result = table.keys->complete(scoped, {value.status, std::move(value.body), std::move(value.content_type)},
                                          now());
        } else {
            result = not_sent ? table.keys->seal_unsent(scoped, now()) : table.keys->fail(scoped, now());
        }
        ended = table.close_settled(scoped);
        return result;
    });
    deliver(outcomes);
    if (ended)
        daemon_.end_request();
}

asio::awaitable<void> call_controller::ask(std::string scoped, std::string owner,
                                           wire::schema::OwnerQuestionT question) {
    auto const patience_ends = base::clock::now() + ask_patience;
    auto const published = board_.target.with([](target_view const& view) { return view.catalogue; });
    auto const* target = published->find_target(owner);
    if (target != nullptr)
        daemon_.hub().connect(owner, target->agent_address);
    asio::steady_timer timer{co_await asio::this_coro::executor};
    std::uint64_t sent_on = 0;
    while (target != nullptr && awaits(scoped, owner) && base::clock::now() < patience_ends) {
        auto const connection = daemon_.hub().find_connection(owner);
        if (connection && connection->number() != sent_on) {
            sent_on = connection->number();
            connection->send(question);
        }
        timer.expires_after(ask_poll);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    // Without effect when the question has been answered.
    on_reply(scoped, owner, {once::owner_reply::unreachable, question.question, 0, {}});
}

bool call_controller::awaits(std::string const& scoped, std::string const& owner) const {
    auto const missing = board_.calls.with([&](call_table const& table) { return table.keys->pending_owners(scoped); });
    return std::ranges::find(missing, owner) != missing.end();
}

void call_controller::take_reply(link::connection const& source, wire::schema::OwnerReplyT message) {
    auto const key = once::idempotency_key::parse(message.key);
    if (!key)
        return;
    auto const reply = message.reply <= static_cast<std::uint8_t>(once::owner_reply::unreachable)
                           ? static_cast<once::owner_reply>(message.reply)
                           : once::owner_reply::unknown;
    once::earlier_owner_answer const answer{
        reply,
        message.question,
        message.fingerprint,
        {message.status, std::string(message.body.begin(), message.body.end()), std::move(message.content_type)}};
    on_reply(once::scoped_key(message.organisation, key.value()), source.peer().process, answer);
}

void call_controller::on_reply(std::string const& scoped, std::string const& owner,
                               once::earlier_owner_answer const& answer) {
    once::earlier_owner_result event;
    call_message call;
    bool ended = false;
    bool sealed = false;
    board_.calls.with([&](call_table& table) {
        if (table.keys->state_of(scoped) != once::key_state::asking)
            return;
        event = table.keys->on_earlier_owner_answer(scoped, owner, answer, now());
        sealed = table.keys->state_of(scoped) == once::key_state::sealed;
        if (event.decision.action == once::key_action::run) {
            call = table.open.at(scoped).message;
            ++table.running;
        }
        ended = table.close_settled(scoped);
    });
    if (sealed)
        daemon_.metrics().add(metrics::counter_kind::keys_sealed);
    deliver(event.outcomes);
    if (ended)
        daemon_.end_request();
    if (call)
        asio::co_spawn(asio::make_strand(daemon_.context()), run_keyed(scoped, call), asio::detached);
}

void call_controller::cede(link::connection& source, wire::schema::OwnerQuestionT const& message) {
    wire::schema::OwnerReplyT reply;
    reply.question = message.question;
    reply.organisation = message.organisation;
    reply.key = message.key;
    reply.reply = static_cast<std::uint8_t>(once::owner_reply::unknown);
    auto const key = once::idempotency_key::parse(message.key);
    if (!key || message.service != service_name_) {
        source.send(reply);
        return;
    }
    bool ended = false;
    auto ceded = board_.calls.with([&](call_table& table) {
        auto result =
            table.keys->cede(message.organisation, key.value(), source.peer().process, message.question, now());
        ended = table.close_settled(once::scoped_key(message.organisation, key.value()));
        return result;
    });
    reply.reply = static_cast<std::uint8_t>(ceded.answer.reply);
    reply.fingerprint = ceded.answer.body_fingerprint;
    reply.status = ceded.answer.answer.status;
    reply.content_type = std::move(ceded.answer.answer.content_type);
    reply.body.assign(ceded.answer.answer.body.begin(), ceded.answer.answer.body.end());
    source.send(reply);
    deliver(ceded.outcomes);
    if (ended)
        daemon_.end_request();
}

void call_controller::remember(wire::schema::RememberedKeysT const& message) {
    std::vector<once::remembered_key> remembered;
    for (auto const& item : message.keys) {
        auto const key = once::idempotency_key::parse(item->key);
        if (key && item->service == service_name_)
            remembered.push_back(to_remembered(*item, key.value()));
    }
    board_.calls.with([&](call_table& table) { table.keys->recover(remembered, now()); });
}

void call_controller::report_state(call_waiter const& to, std::string const& scoped) {
    wire::schema::KeyStateT message;
    message.attempt = to.attempt;
    message.key = to.key;
    board_.calls.with([&](call_table const& table) {
        message.state = static_cast<std::uint8_t>(table.keys->state_of(scoped));
        if (auto const* answer = table.keys->answer_of(scoped))
            set_answer(message, answer->status, answer->content_type, answer->body);
    });
    to.connection->send(message);
}

void call_controller::deliver(std::vector<once::waiter_outcome> const& outcomes) {
    for (auto const& outcome : outcomes) {
        auto const to = board_.calls.with([&](call_table& table) {
            auto const node = table.waiters.extract(outcome.waiter);
            return node ? std::optional{node.mapped()} : std::nullopt;
        });
        if (to)
            deliver(*to, outcome.decision);
    }
}

void call_controller::deliver(call_waiter const& to, once::key_decision const& decision) {
    bool const refused = decision.action == once::key_action::refuse;
    if (refused && decision.refusal == error_kind::outcome_unknown)
        daemon_.metrics().add(metrics::counter_kind::keys_unknown);
    else if (refused)
        log::write(log::event_kind::key_refused, {{"kind", base::name_of(decision.refusal)}});
    if (to.kind == waiter_kind::query)
        send_decision<wire::schema::KeyStateT>(to, decision);
    else
        send_decision<wire::schema::CallAnswerT>(to, decision);
}

void call_controller::on_configuration_confirmed(base::time_point as_of) {
    board_.calls.with([&](call_table& table) { table.keys->on_configuration_confirmed(as_of); });
}

void call_controller::fill_heartbeat(wire::schema::HeartbeatT& content) {
    content.load = std::make_unique<wire::schema::LoadHintT>(hint());
}

wire::schema::LoadHintT call_controller::hint() const {
    bool const reachable = board_.target.with([](target_view const& view) { return view.reachable; });
    wire::schema::LoadHintT message;
    message.running = board_.calls.with([](call_table const& table) { return table.running; });
    message.bound = running_bound();
    message.warm = true;
    message.accepting = reachable && !refusal_reason();
    message.target_incarnation = daemon_.identity().incarnation;
    return message;
}

} // namespace cyclamenledge::agent
