#include "entry/call_session.h"

#include "retry/may_retry.h"

#include <array>
#include <utility>

namespace cyclamenledge::entry {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds no_target_retry{1000};

} // namespace

call_session::call_session(process::runtime& daemon, blackboard& board, agent_links& links, caller from,
                           plain_call call, http::session_pointer client)
    : call_exchange(daemon, board, links, std::move(from), std::move(call), std::move(client))
    , hedge_timer_(client_->executor()) {}

asio::awaitable<void> call_session::run() {
    board_.routing.with([](routing_state& state) { state.budget.deposit(base::clock::now()); });
    watch_deadline();
    if (start_attempt())
        watch_hedge();
    else
        co_await finish(failure_);
    while (!finished_) {
        auto event = co_await mailbox_->receive();
        co_await handle(event);
    }
    abandon();
    hedge_timer_.cancel();
    stop_watching();
}

std::optional<std::string> call_session::route() {
    std::vector<std::string_view> const excluded{tried_.begin(), tried_.end()};
    routing::route_request wanted;
    wanted.service = caller_.service->name;
    wanted.crossing = caller_.service_class->crossing;
    wanted.excluded = excluded;
    auto const now = base::clock::now();
    return board_.routing.with([&](routing_state& state) -> std::optional<std::string> {
        auto const decision = state.targets->choose(wanted, now);
        if (decision.refusal) {
            failure_ = base::make_error(*decision.refusal, "no target can take the call", no_target_retry);
            return std::nullopt;
        }
        state.targets->on_sent(decision.target, 0, now);
        return std::string(decision.target);
    });
}

bool call_session::start_attempt() {
    while (auto const target = route()) {
        tried_.push_back(*target);
        ++attempts_;
        pending made{*target, base::clock::now(), nullptr};
        auto const connection = links_.find(*target);
        if (!connection) {
            report(made, routing::attempt_outcome::failure);
            continue;
        }
        made.open = std::make_unique<attempt>(board_.attempts, connection, mailbox_);
        auto message = make_submit();
        message.attempt = made.open->number();
        message.attempt_number = attempts_;
        connection->send(message);
        pending_.emplace(message.attempt, std::move(made));
        return true;
    }
    return false;
}

retry::pending_call call_session::waiting(base::time_point sent_at) const {
    auto const now = base::clock::now();
    auto const left = std::chrono::floor<base::milliseconds>(deadline_ - now);
    return {caller_.service->name, retry::request_kind::idempotent_call, sent_at, hedged_,
            retry::deadline::after(left, now)};
}

void call_session::watch_hedge() {
    auto const due =
        board_.routing.with([&](routing_state& state) { return state.hedges.hedge_time(waiting(started_at_)); });
    if (!due)
        return;
    hedge_timer_.expires_at(*due);
    hedge_timer_.async_wait([receiver = mailbox_](boost::system::error_code const& code) {
        if (!code)
            receiver->deliver(0, timer_expired{});
    });
}

asio::awaitable<void> call_session::handle(attempt_event& event) {
    // One row per alternative of event_content, in its order.
    static constexpr std::array<event_action, std::variant_size_v<event_content>> actions{
        &call_session::ignore,    &call_session::ignore,   &call_session::ignore,  &call_session::ignore,
        &call_session::on_answer, &call_session::ignore,   &call_session::on_lost, &call_session::on_deadline,
        &call_session::on_gone,   &call_session::on_timer,
    };
    co_await (this->*actions.at(event.content.index()))(event);
}

asio::awaitable<void> call_session::on_answer(attempt_event& event) {
    auto const& message = std::get<wire::schema::CallAnswerT>(event.content);
    auto const node = pending_.extract(event.attempt);
    if (!node || message.fingerprint != call_.fingerprint) {
        drop_answer(event);
        if (node)
            co_await after_failure(
                base::make_error(base::error_kind::protocol_error, "the answer is for another call"));
        co_return;
    }
    auto const& ended = node.mapped();
    if (message.failed) {
        auto const reason = error_in(message);
        bool const refused = base::answer_for(reason.kind).run == base::run_statement::not_run;
        report(ended, refused ? routing::attempt_outcome::refused : routing::attempt_outcome::failure);
        co_await after_failure(reason);
        co_return;
    }
    report(ended, routing::attempt_outcome::success);
    auto const latency = base::clock::now() - ended.sent_at;
    board_.routing.with([&](routing_state& state) { state.hedges.observe(caller_.service->name, latency); });
    finished_ = true;
    co_await answer(to_response(message));
}

asio::awaitable<void> call_session::on_lost(attempt_event& event) {
    auto const node = pending_.extract(event.attempt);
    if (!node)
        co_return;
    report(node.mapped(), routing::attempt_outcome::failure);
    co_await after_failure(
        base::make_error(base::error_kind::link_lost, std::get<connection_lost>(event.content).reason.message));
}

asio::awaitable<void> call_session::after_failure(base::error cause) {
    if (!pending_.empty())
        co_return; // The other attempt may still answer.
    auto const now = base::clock::now();
    retry::attempt_state const state{
        cause.kind,        retry::request_kind::idempotent_call, retry::transmission::sent, false, attempts_,
        waiting(now).until};
    auto const verdict =
        board_.routing.with([&](routing_state& shared) { return retry::may_retry(state, shared.budget, now); });
    if (verdict.reason == retry::retry_reason::budget_used_up)
        daemon_.metrics().add(metrics::counter_kind::retry_budget_exhausted);
    if (verdict.action != retry::retry_action::retry || !start_attempt()) {
        co_await finish(std::move(cause));
        co_return;
    }
    daemon_.metrics().add(metrics::counter_kind::retries);
}

asio::awaitable<void> call_session::on_timer(attempt_event&) {
    auto const now = base::clock::now();
    bool const hedge = board_.routing.with(
        [&](routing_state& state) { return state.hedges.hedge(waiting(started_at_), state.budget, now); });
    if (!hedge)
        co_return;
    hedged_ = true;
    if (start_attempt())
        daemon_.metrics().add(metrics::counter_kind::hedges);
}

asio::awaitable<void> call_session::on_deadline(attempt_event&) {
    co_await finish(base::make_error(base::error_kind::deadline_exceeded, "the deadline of the call has passed"));
}

asio::awaitable<void> call_session::on_gone(attempt_event&) {
    finished_ = true;
    co_return;
}

asio::awaitable<void> call_session::ignore(attempt_event&) {
    co_return;
}

asio::awaitable<void> call_session::finish(base::error failure) {
    finished_ = true;
    co_await fail(std::move(failure));
}

void call_session::abandon() {
    for (auto const& [number, item] : pending_)
        report(item, routing::attempt_outcome::cancelled);
    pending_.clear();
}

void call_session::report(pending const& ended, routing::attempt_outcome outcome) {
    auto const now = base::clock::now();
    board_.routing.with(
        [&](routing_state& state) { state.targets->on_outcome(ended.target, outcome, now - ended.sent_at, now); });
}

} // namespace cyclamenledge::entry
