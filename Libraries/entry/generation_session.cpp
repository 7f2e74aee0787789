#include "entry/generation_session.h"

#include "base/hash.h"
#include "log/logger.h"
#include "retry/may_retry.h"
#include "stream/recovery.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <tuple>
#include <utility>

namespace cyclamenledge::entry {

namespace asio = boost::asio;

namespace {

constexpr std::size_t prefix_bytes = 256;
// Shorter than the agent's grace, so that a resume that is sent in time still finds the generation.
constexpr base::seconds resume_patience{8};
constexpr base::milliseconds resume_poll{20};
constexpr base::milliseconds network_transit{1};
constexpr base::milliseconds no_target_retry{1000};

base::error error_of(std::uint8_t kind, std::string message, std::uint32_t retry_after_ms = 0) {
    auto const known = kind < base::error_kind_count ? static_cast<base::error_kind>(kind) : base::error_kind::internal;
    base::error result = base::make_error(known, std::move(message));
    if (retry_after_ms > 0)
        result.retry_after = base::milliseconds{retry_after_ms};
    return result;
}

} // namespace

generation_session::generation_session(process::runtime& daemon, blackboard& board, agent_links& links,
                                       poison_control::poison_controller& poison, caller from,
                                       completion_request request, std::unique_ptr<completion_writer> writer,
                                       asio::any_io_executor executor)
    : daemon_(daemon)
    , board_(board)
    , links_(links)
    , poison_(poison)
    , caller_(std::move(from))
    , request_(std::move(request))
    , writer_(std::move(writer))
    , executor_(std::move(executor))
    , deadline_timer_(executor_)
    , mailbox_(new mailbox{executor_})
    , prefix_(base::hash_text(request_.prompt.substr(0, prefix_bytes), base::hash_text(request_.model)))
    , fingerprint_(base::hash_text(request_.prompt,
                                   base::hash_text(request_.model, base::hash_text(caller_.organisation->name)) +
                                       request_.max_tokens))
    , started_at_(base::clock::now()) {}

asio::awaitable<void> generation_session::run() {
    board_.routing.with([](routing_state& state) { state.budget.deposit(base::clock::now()); });
    watch_deadline();
    auto next = step::next_target;
    while (next != step::finished) {
        if (next == step::resume)
            next = co_await attempt_resume();
        else
            next = co_await attempt_once();
    }
    deadline_timer_.cancel();
}

void generation_session::watch_deadline() {
    if (!caller_.deadline)
        return;
    deadline_timer_.expires_at(*caller_.deadline);
    deadline_timer_.async_wait([receiver = mailbox_](boost::system::error_code const& code) {
        if (!code)
            receiver->deliver(0, deadline_passed{});
    });
}

void generation_session::on_caller_gone() {
    gone_ = true;
    mailbox_->deliver(0, caller_gone{});
}

bool generation_session::caller_expired() const {
    return caller_.deadline && base::clock::now() >= *caller_.deadline;
}

routing::route_decision generation_session::route() {
    std::vector<std::string_view> const excluded{tried_.begin(), tried_.end()};
    routing::route_request wanted;
    wanted.service = caller_.service->name;
    wanted.crossing = caller_.service_class->crossing;
    wanted.prefix = prefix_;
    wanted.excluded = excluded;
    auto const now = base::clock::now();
    return board_.routing.with([&](routing_state& state) {
        auto decision = state.targets->choose(wanted, now);
        if (!decision.refusal) {
            target_ = decision.target;
            state.targets->on_sent(target_, prefix_, now);
            target_open_ = true;
            attempt_started_at_ = now;
        }
        return decision;
    });
}

void generation_session::report(routing::attempt_outcome outcome) {
    if (!std::exchange(target_open_, false))
        return;
    auto const now = base::clock::now();
    board_.routing.with(
        [&](routing_state& state) { state.targets->on_outcome(target_, outcome, now - attempt_started_at_, now); });
}

asio::awaitable<generation_session::step> generation_session::attempt_once() {
    if (poison_.refuses(fingerprint_)) {
        // After an attempt, "not run" would be false.
        auto const kind = attempts_ == 0 ? base::error_kind::poison_request : base::error_kind::generation_lost;
        co_return co_await fail(base::make_error(kind, "targets crashed while they ran this request"));
    }
    if (auto const decision = route(); decision.refusal)
        co_return co_await fail(base::make_error(*decision.refusal, "no target can take the request", no_target_retry));
    tried_.push_back(target_);
    ++attempts_;
    auto const connection = links_.find(target_);
    if (!connection) {
        report(routing::attempt_outcome::failure);
        co_return step::next_target;
    }
    attempt current{board_.attempts, connection, mailbox_};
    send_submit(current);
    co_return co_await follow(current);
}

asio::awaitable<generation_session::step> generation_session::attempt_resume() {
    auto const patience_ends = base::clock::now() + resume_patience;
    asio::steady_timer timer{executor_};
    link::connection_pointer connection;
    while (!connection && !gone_ && !caller_expired() && base::clock::now() < patience_ends) {
        connection = links_.find(target_);
        if (connection)
            break;
        timer.expires_after(resume_poll);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (!connection) {
        auto const kind = gone_              ? base::error_kind::cancelled
                          : caller_expired() ? base::error_kind::deadline_exceeded
                                             : base::error_kind::generation_lost;
        co_return co_await fail(base::make_error(kind, "the generation could not be resumed"));
    }
    daemon_.metrics().add(metrics::counter_kind::resumes);
    log::write(log::event_kind::generation_resumed,
               {{"generation", generation_}, {"target", target_}, {"index", sequencer_.next_index()}});
    credit_.reset();
    attempt current{board_.attempts, connection, mailbox_};
    send_submit(current);
    co_return co_await follow(current);
}

void generation_session::send_submit(attempt& current) {
    wire::schema::SubmitGenerationT message;
    message.attempt = current.number();
    message.organisation = caller_.organisation->name;
    message.service = caller_.service->name;
    message.service_class = caller_.service_class->name;
    message.priority = caller_.priority;
    message.prompt = request_.prompt;
    message.max_tokens = request_.max_tokens;
    message.attempt_number = attempts_;
    message.fingerprint = fingerprint_;
    if (caller_.deadline) {
        auto const left =
            std::chrono::floor<base::milliseconds>(*caller_.deadline - base::clock::now()) - network_transit;
        message.remaining_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1));
    }
    message.resume_generation = generation_;
    message.resume_index = static_cast<std::uint32_t>(sequencer_.next_index());
    current.connection().send(message);
}

asio::awaitable<generation_session::step> generation_session::follow(attempt& current) {
    while (true) {
        auto event = co_await mailbox_->receive();
        if (event.attempt != 0 && event.attempt != current.number())
            continue; // Left over from an earlier attempt.
        if (auto const next = co_await handle(current, event))
            co_return *next;
    }
}

asio::awaitable<std::optional<generation_session::step>> generation_session::handle(attempt& current,
                                                                                    attempt_event& event) {
    // One row per alternative of event_content, in its order.
    static constexpr std::array<event_action, std::variant_size_v<event_content>> actions{
        &generation_session::on_admitted, &generation_session::on_refused,  &generation_session::on_tokens,
        &generation_session::on_end,      &generation_session::ignore,      &generation_session::ignore,
        &generation_session::on_lost,     &generation_session::on_deadline, &generation_session::on_gone,
        &generation_session::ignore,
    };
    return (this->*actions.at(event.content.index()))(current, event);
}

asio::awaitable<std::optional<generation_session::step>> generation_session::on_admitted(attempt&,
                                                                                         attempt_event& event) {
    auto& message = std::get<wire::schema::AdmittedT>(event.content);
    if (message.generation != generation_) {
        generation_ = std::move(message.generation);
        sequencer_.restart(++generation_count_);
    }
    co_return std::nullopt;
}

asio::awaitable<std::optional<generation_session::step>> generation_session::on_refused(attempt& current,
                                                                                        attempt_event& event) {
    auto& message = std::get<wire::schema::RefusedT>(event.content);
    auto const reason = error_of(message.error, std::move(message.message), message.retry_after_ms);
    report(routing::attempt_outcome::refused);
    if (!generation_.empty())
        co_return co_await recover(current, reason, true);
    auto const now = base::clock::now();
    retry::attempt_state const state{reason.kind,
                                     retry::request_kind::generation,
                                     retry::transmission::sent,
                                     false,
                                     attempts_,
                                     retry::deadline::after(base::seconds{3600}, now)};
    auto const verdict =
        board_.routing.with([&](routing_state& shared) { return retry::may_retry(state, shared.budget, now); });
    if (verdict.action != retry::retry_action::retry)
        co_return co_await fail(reason);
    daemon_.metrics().add(metrics::counter_kind::retries);
    co_return step::next_target;
}

asio::awaitable<std::optional<generation_session::step>> generation_session::on_tokens(attempt& current,
                                                                                       attempt_event& event) {
    auto& message = std::get<wire::schema::TokensT>(event.content);
    if (message.generation != generation_) {
        daemon_.metrics().add(metrics::counter_kind::late_answers_dropped);
        co_return std::nullopt;
    }
    auto const verdict = sequencer_.accept(sequencer_.generation(), message.first_index, message.texts.size());
    if (verdict.verdict == stream::sequence_verdict::gap) {
        cancel(current);
        co_return step::resume;
    }
    if (verdict.deliver == 0)
        co_return std::nullopt;
    measure_tokens(verdict.deliver);
    auto const fresh = std::span<std::string const>{message.texts}.subspan(verdict.skip, verdict.deliver);
    if (!co_await writer_->write_tokens(fresh)) {
        cancel(current);
        report(routing::attempt_outcome::cancelled);
        co_return step::finished;
    }
    acknowledge(current, static_cast<std::uint32_t>(verdict.deliver));
    co_return std::nullopt;
}

void generation_session::measure_tokens(std::size_t count) {
    auto const now = base::clock::now();
    auto const in_milliseconds = [](base::duration span) { return base::to_seconds(span) * 1000; };
    auto& metrics = daemon_.metrics();
    metrics.add(metrics::counter_kind::tokens, count);
    if (caller_.ticket)
        caller_.ticket->charge_tokens(count);
    if (last_token_at_ == base::time_point{}) {
        metrics.observe(metrics::distribution_kind::first_token, in_milliseconds(now - started_at_));
    } else {
        auto const gap = now - last_token_at_;
        metrics.observe(metrics::distribution_kind::token_gap, in_milliseconds(gap));
        if (gap > caller_.service_class->token_gap_target)
            metrics.observe(metrics::distribution_kind::stall,
                            in_milliseconds(gap - caller_.service_class->token_gap_target));
    }
    last_token_at_ = now;
}

void generation_session::acknowledge(attempt& current, std::uint32_t tokens) {
    if (credit_.on_delivered(tokens) == 0)
        return;
    wire::schema::WindowT message;
    message.attempt = current.number();
    message.acknowledged = static_cast<std::uint32_t>(sequencer_.next_index());
    current.connection().send(message);
}

asio::awaitable<std::optional<generation_session::step>> generation_session::on_end(attempt& current,
                                                                                    attempt_event& event) {
    auto& message = std::get<wire::schema::GenerationEndT>(event.content);
    if (message.generation != generation_) {
        daemon_.metrics().add(metrics::counter_kind::late_answers_dropped);
        co_return std::nullopt;
    }
    if (message.failed) {
        if (message.crashed_incarnation != 0)
            poison_.on_crash(
                {fingerprint_, target_, message.crashed_incarnation, base::milliseconds{0},
                 std::chrono::duration_cast<base::milliseconds>(base::clock::now() - attempt_started_at_)});
        auto const reason = error_of(message.error, std::move(message.message));
        report(routing::attempt_outcome::failure);
        co_return co_await recover(current, reason, true);
    }
    if (sequencer_.finish(sequencer_.generation(), message.count) != stream::sequence_verdict::accepted)
        co_return step::resume;
    report(routing::attempt_outcome::success);
    daemon_.metrics().add(metrics::counter_kind::answers_ok);
    poison_.on_success(fingerprint_);
    std::ignore = co_await writer_->finish(std::move(message.finish_reason));
    co_return step::finished;
}

asio::awaitable<std::optional<generation_session::step>> generation_session::on_lost(attempt& current,
                                                                                     attempt_event& event) {
    auto const reason = std::get<connection_lost>(event.content).reason;
    // Before a token has left, another target is faster than waiting for the link to come back.
    bool const abandon = sequencer_.next_index() == 0;
    report(routing::attempt_outcome::failure);
    co_return co_await recover(current, reason, abandon);
}

asio::awaitable<generation_session::step> generation_session::recover(attempt&, base::error cause,
                                                                      bool generation_lost) {
    stream::recovery_input state;
    state.generation = generation_lost ? stream::generation_state::lost : stream::generation_state::running;
    state.tokens_sent = sequencer_.next_index();
    state.caller_present = !gone_;
    state.deadline_passed = caller_expired();
    auto const now = base::clock::now();
    state.budget_available = !generation_lost || state.tokens_sent > 0 ||
                             board_.routing.with([&](routing_state& shared) { return shared.budget.try_spend(now); });
    auto const decision = stream::decide_recovery(state);
    if (decision.action == stream::recovery_action::resume)
        co_return step::resume;
    if (decision.action == stream::recovery_action::fail)
        co_return co_await fail(base::make_error(decision.failure, cause.message));
    daemon_.metrics().add(metrics::counter_kind::reruns);
    log::write(log::event_kind::generation_rerun, {{"target", target_}, {"reason", cause.message}});
    generation_.clear();
    co_return step::next_target;
}

asio::awaitable<std::optional<generation_session::step>> generation_session::on_deadline(attempt& current,
                                                                                         attempt_event&) {
    cancel(current);
    report(routing::attempt_outcome::cancelled);
    co_return co_await fail(
        base::make_error(base::error_kind::deadline_exceeded, "the deadline of the request has passed"));
}

asio::awaitable<std::optional<generation_session::step>> generation_session::on_gone(attempt& current, attempt_event&) {
    cancel(current);
    report(routing::attempt_outcome::cancelled);
    co_return step::finished;
}

asio::awaitable<std::optional<generation_session::step>> generation_session::ignore(attempt&, attempt_event&) {
    co_return std::nullopt;
}

void generation_session::cancel(attempt& current) {
    wire::schema::CancelT message;
    message.attempt = current.number();
    current.connection().send(message);
}

asio::awaitable<generation_session::step> generation_session::fail(base::error failure) {
    bool const refused = base::answer_for(failure.kind).run == base::run_statement::not_run;
    daemon_.metrics().add(refused ? metrics::counter_kind::answers_refused : metrics::counter_kind::answers_failed);
    if (!refused && sequencer_.next_index() > 0) {
        log::write(log::event_kind::generation_lost,
                   {{"target", target_}, {"kind", base::name_of(failure.kind)}, {"reason", failure.message}});
    }
    std::ignore = co_await writer_->fail(std::move(failure));
    co_return step::finished;
}

} // namespace cyclamenledge::entry
