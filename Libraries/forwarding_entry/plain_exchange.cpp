#include "forwarding_entry/plain_exchange.h"

#include "forwarding_entry/answer_limits.h"
#include "forwarding_entry/answer_reader.h"
#include "forwarding_entry/answers.h"
#include "forwarding_entry/crash_detector.h"
#include "forwarding_entry/stated_load_observer.h"
#include "forwarding_entry/target_inquiry.h"
#include "log/logger.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

// A target may close an idle connection at any time, and whether a request sent at that time has run is unknown. A
// request that must not run twice therefore only uses connections that were idle for less than this.
constexpr base::milliseconds maximum_idle_unless_repeatable{1000};
constexpr base::milliseconds unlimited_idle_time{3'600'000};
// An attempt that takes longer than the latency objective divided by this is replaced by one at another target, whose
// answer can still be on time, as soon as that is certain to be sent.
constexpr int objective_divisor = 2;
// Reason of an attempt that was ended for its successor.
constexpr std::string_view replaced_reason = "slow";
constexpr base::milliseconds successor_retry_interval{250};
constexpr base::milliseconds minimum_attempt_time{60};
// Time reserved at the end of the objective and of the deadline for running a request that was queued.
constexpr base::milliseconds run_time_reserve{60};

} // namespace

asio::awaitable<void> plain_exchange::run() {
    boost::intrusive_ptr<plain_exchange> const self{this};
    request_.client->watch_for_close([self] { self->on_caller_left(); });
    auto answer = co_await run_attempts();
    request_.client->end_watch();
    if (caller_left_) {
        log::write(log::event_kind::request_cancelled, {{"request", request_.caller.id}});
        request_.client->end_after_answer();
        co_return;
    }
    std::ignore = co_await request_.client->send(std::move(answer));
    answer_memory_.resize(0);
}

void plain_exchange::on_caller_left() {
    caller_left_ = true;
    if (connection_)
        connection_->close();
    parts_.placements.on_capacity_change();
}

placement_need plain_exchange::next_placement(std::vector<std::string> const& excluded) {
    auto need = make_placement_need(request_, excluded);
    need.on_time_until = request_.arrived + request_.route->latency_objective - run_time_reserve;
    need.overcommit_at = need.on_time_until;
    need.give_up_at = request_.deadline - run_time_reserve;
    need.is_cancelled = [this] { return caller_left_ || learn_refusal(); };
    return need;
}

asio::awaitable<void> plain_exchange::replace_when_slow(self_pointer, attempt_pointer current) {
    bool const last = !request_.may_run_again() || possible_runs_ + 1 >= request_.route->maximum_attempts;
    if (last)
        co_return;
    current->timer.expires_at(current->sent_at +
                              std::max(request_.route->latency_objective / objective_divisor, minimum_attempt_time));
    while (true) {
        co_await current->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto const now = base::clock::now();
        // A successor that has less time than this attempt has had would be less likely to answer.
        if (current->ended || answer_began_ || caller_left_ || request_.time_left(now) < now - current->sent_at)
            co_return;
        auto prepared = co_await prepare_successor(current);
        if (prepared && (current->ended || answer_began_ || caller_left_)) {
            withdraw(*prepared);
            co_return;
        }
        if (prepared) {
            successor_ = std::move(prepared);
            connection_->close();
            co_return;
        }
        current->timer.expires_after(successor_retry_interval);
    }
}

asio::awaitable<std::optional<plain_exchange::prepared_attempt>>
plain_exchange::prepare_successor(attempt_pointer current) {
    if (learn_refusal())
        co_return std::nullopt;
    auto facts = make_attempt_facts(send_result{send_outcome::unknown, {}, {}});
    ++facts.runs;
    prepared_attempt prepared;
    prepared.decision = ask_retry(parts_, request_.service, facts);
    if (!prepared.decision.allowed)
        co_return std::nullopt;
    auto excluded = tried_targets_;
    excluded.push_back(current->target);
    auto need = next_placement(excluded);
    need.overcommit_at = base::time_point::max();
    auto const target = co_await parts_.placements.place_now(std::move(need));
    auto const* view = target ? parts_.board.fleet.find(*target) : nullptr;
    if (view == nullptr) {
        give_back(parts_, request_.service, prepared.decision);
        co_return std::nullopt;
    }
    prepared.target = *target;
    auto const connected = co_await parts_.connections.acquire(
        view->record.address, request_.caller.id,
        std::min(target_connections::connect_timeout, request_.time_left(base::clock::now())), unlimited_idle_time);
    if (!connected) {
        parts_.placements.record_outcome(prepared.target, forwarding::target_outcome::unreachable);
        withdraw(prepared);
        // The list is in use by the next placement once the attempt has ended.
        if (!current->ended)
            tried_targets_.push_back(prepared.target);
        co_return std::nullopt;
    }
    prepared.connection = connected.value();
    co_return prepared;
}

void plain_exchange::withdraw(prepared_attempt const& unused) {
    parts_.placements.withdraw(unused.target, request_.caller.id);
    give_back(parts_, request_.service, unused.decision);
    auto const* view = parts_.board.fleet.find(unused.target);
    if (unused.connection && view != nullptr)
        parts_.connections.release(view->record.address, unused.connection, {});
}

retry_decision plain_exchange::decide_next(send_result const& last) {
    if (caller_left_)
        return {.reason = retry_reason::caller_left};
    if (base::clock::now() >= request_.deadline)
        return {.reason = retry_reason::deadline};
    if (successor_ && !learn_refusal()) {
        parts_.metrics.add(metrics::counter_kind::retries);
        return successor_->decision;
    }
    return decide_retry(parts_, request_.service, make_attempt_facts(last));
}

bool plain_exchange::learn_refusal() {
    if (!refusal_)
        refusal_ = parts_.suspects.find_refusal(request_.content);
    return refusal_.has_value();
}

forwarding::attempt_facts plain_exchange::make_attempt_facts(send_result const& last) const {
    return {last.outcome,
            last.server_error(),
            request_.may_run_again(),
            possible_runs_,
            request_.route->maximum_attempts,
            unsent_attempts_,
            refusal_.has_value()};
}

asio::awaitable<http::response> plain_exchange::run_attempts() {
    parts_.board.retry_budget(request_.service).count_request(request_.arrived);
    send_result last;
    while (true) {
        auto next = std::exchange(successor_, std::nullopt);
        if (!next) {
            auto const target = co_await parts_.placements.place(next_placement(tried_targets_));
            if (!target) {
                // Unless a target may have run it, the request is refused, and the caller told when to return.
                if (possible_runs_ == 0)
                    co_return make_error_answer(refusal_ ? make_poison_refusal(refusal_->time_to_expiry)
                                                         : target.error());
                // Every other target was tried already, so the last outcome is final.
                not_repeated_ = base::name_of(target.error().kind);
                break;
            }
            next.emplace();
            next->target = target.value();
        }
        last = co_await send_to(next->target, std::move(next->connection));
        if (last.outcome == send_outcome::not_sent)
            parts_.placements.withdraw(next->target, request_.caller.id);
        else
            parts_.placements.release(next->target, request_.caller.id);
        tried_targets_.push_back(next->target);
        // The answer may have arrived at the moment at which the attempt was replaced.
        if (successor_ && last.outcome != send_outcome::unknown)
            withdraw(*std::exchange(successor_, std::nullopt));
        auto const decision = decide_next(last);
        not_repeated_ = decision.reason;
        if (!decision.allowed)
            break;
        log_retry(log::event_kind::request_sent_again, request_.caller.id, next->target, last.reason, decision);
    }
    if (successor_)
        withdraw(*std::exchange(successor_, std::nullopt));
    co_return make_final_answer(std::move(last));
}

http::response plain_exchange::make_final_answer(send_result last) {
    auto const conclusion = forwarding::conclude(make_attempt_facts(last));
    if (conclusion == forwarding::final_answer::pass_on && last.answer) {
        log::write(log::event_kind::request_finished, {{"request", request_.caller.id},
                                                       {"status", last.answer->result_int()},
                                                       {"targets", tried_targets_.size()}});
        if (last.outcome == send_outcome::not_run)
            set_return_time(*last.answer, parts_.placements.return_time(request_.placement()));
        return std::move(*last.answer);
    }
    if (!caller_left_)
        log::write(log::event_kind::request_failed, {{"request", request_.caller.id},
                                                     {"reason", last.reason},
                                                     {"targets", tried_targets_.size()},
                                                     {"not_repeated", not_repeated_}});
    if (conclusion == forwarding::final_answer::refuse && refusal_)
        return make_error_answer(make_poison_refusal(refusal_->time_to_expiry));
    if (conclusion == forwarding::final_answer::refuse)
        return make_error_answer(base::make_error(base::error_kind::overloaded, "no target took the request",
                                                  parts_.placements.return_time(request_.placement())));
    auto const kind =
        base::clock::now() >= request_.deadline ? base::error_kind::deadline_exceeded : base::error_kind::link_lost;
    return make_error_answer(base::make_error(kind, "no answer from the target: " + last.reason));
}

asio::awaitable<send_result> plain_exchange::send_to(std::string target, http::upstream_pointer connection) {
    auto const* view = parts_.board.fleet.find(target);
    if (view == nullptr)
        co_return send_result{send_outcome::not_sent, "target_gone", {}};
    auto const address = view->record.address;
    auto const started_at = view->record.started_at;
    auto const now = base::clock::now();
    if (!connection) {
        auto const maximum_idle = request_.may_run_again() ? unlimited_idle_time : maximum_idle_unless_repeatable;
        auto const connected = co_await parts_.connections.acquire(
            address, request_.caller.id, std::min(target_connections::connect_timeout, request_.time_left(now)),
            maximum_idle);
        if (!connected) {
            ++unsent_attempts_;
            parts_.placements.record_outcome(target, forwarding::target_outcome::unreachable);
            co_return send_result{send_outcome::not_sent, connected.error().message, {}};
        }
        connection = connected.value();
    }
    // The deadline may have passed or the caller may have left while the connection was opened.
    bool const still_allowed = parts_.board.fleet.may_receive(target, base::clock::now());
    if (caller_left_ || base::clock::now() >= request_.deadline || !still_allowed) {
        parts_.connections.release(address, connection, {});
        auto const* closed =
            parts_.board.fleet.held_off(target, base::clock::now()) ? "target_hold_off" : "target_leaving";
        co_return send_result{send_outcome::not_sent, still_allowed ? "deadline" : closed, {}};
    }
    if (learn_refusal()) {
        parts_.connections.release(address, connection, {});
        co_return send_result{send_outcome::not_sent, std::string{base::name_of(base::error_kind::poison_request)}, {}};
    }
    connection_ = std::move(connection);
    answer_began_ = false;
    platform::forwarded_context context;
    context.time_left = request_.time_left(base::clock::now());
    context.target = target;
    context.organisation = request_.organisation == nullptr ? "" : request_.organisation->name;
    auto const message = platform::encode_forwarded(request_.received, context);
    attempt_pointer const current{new running_attempt{parts_.context, target}};
    // GCC 12 destroys a braced argument of an awaited call twice, so this is named.
    forwarding::target_incarnation incarnation{target, started_at};
    asio::co_spawn(parts_.context, replace_when_slow(self_pointer{this}, current), asio::detached);
    send_result result;
    if (auto const sent = co_await connection_->send(message, request_.time_left(base::clock::now())); !sent)
        result = make_unknown_result(sent.error());
    else
        result = co_await read_answer(std::move(incarnation), address, connection_);
    current->ended = true;
    current->timer.cancel();
    if (successor_ && result.outcome == send_outcome::unknown)
        result.reason = replaced_reason;
    connection_.reset();
    if (result.may_have_run())
        ++possible_runs_;
    if (result.connection_lost && !caller_left_) {
        // GCC 12 destroys a braced argument of an awaited call twice, so this is named.
        lost_run lost{request_.caller.id, request_.content, current->sent_at, base::clock::now(), 0, false};
        co_await parts_.crashes.examine(target, std::move(lost));
    }
    if (result.outcome == send_outcome::answered && !result.server_error()) {
        parts_.suspects.on_success(request_.content.fingerprint);
        parts_.suspects.on_part_success(request_.content);
    }
    using enum forwarding::target_outcome;
    if (!caller_left_ && result.may_have_run() && !result.held_off)
        parts_.placements.record_outcome(
            target, result.outcome == send_outcome::answered && !result.server_error() ? answered : failed);
    if (result.reason == "other_target")
        parts_.notices.on_replaced({target, started_at}, request_.caller.id);
    co_return result;
}

asio::awaitable<send_result> plain_exchange::read_answer(forwarding::target_incarnation target, std::string address,
                                                         http::upstream_pointer connection) {
    auto const left = [this] { return request_.time_left(base::clock::now()); };
    // GCC 12 destroys a braced argument of an awaited call twice, so this is named.
    expected_answer expected{request_.caller.id, request_.received.method() != http::beast_http::verb::head,
                             maximum_answer_bytes, left, parts_.notices.make_handler(target, request_.caller.id)};
    auto const head = co_await read_matching_head(connection, std::move(expected));
    if (!head) {
        connection->close();
        co_return make_unknown_result(head.error());
    }
    answer_began_ = true;
    auto const facts = platform::decode_answer(head.value());
    parts_.permits.on_answer(target.id, request_.caller.id, facts);
    apply_stated_load(parts_, request_.service, target, facts);
    auto body = co_await connection->read_whole_body(maximum_answer_bytes, left(), &answer_memory_);
    if (!body) {
        connection->close();
        co_return make_unknown_result(body.error());
    }
    bool const success = head.value().result_int() < 300;
    bool const genuine = !success || (facts.stamped && !facts.encoded && !facts.request_id.empty());
    if (!genuine) {
        connection->close();
        co_return send_result{send_outcome::unknown, "an answer that is not the target's", {}};
    }
    bool whole = !success || connection->framing() != http::answer_framing::connection_end;
    if (!whole) {
        target_inquiry asked;
        asked.request = request_.caller.id;
        asked.target = target.id;
        asked.address = address;
        asked.started_at = target.started_at;
        asked.deadline = request_.deadline;
        whole = co_await connection_ends_answer(parts_, std::move(asked));
    }
    if (!whole) {
        connection->close();
        co_return send_result{send_outcome::unknown, "the connection ended, which does not end the answer", {}, true};
    }
    parts_.connections.release(address, connection, facts.idle_timeout);
    if (facts.unproven_refusal)
        co_return make_unproven_refusal(facts.notices.hold_off.has_value());
    auto const outcome = facts.not_run ? send_outcome::not_run : send_outcome::answered;
    auto reason =
        facts.other_target ? std::string{"other_target"} : "status " + std::to_string(head.value().result_int());
    co_return send_result{outcome, std::move(reason), make_caller_answer(head.value(), std::move(body).value())};
}

} // namespace cyclamenledge::forwarding_entry
