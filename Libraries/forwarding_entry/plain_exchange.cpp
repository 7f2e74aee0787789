#include "forwarding_entry/plain_exchange.h"

#include "forwarding_entry/answer_reader.h"
#include "forwarding_entry/answers.h"
#include "log/logger.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

constexpr std::size_t maximum_answer_bytes = 16UL * 1024 * 1024;
// A kept connection may be closed by its target at any moment, and a request that meets the close may have run. One
// that must not run twice therefore only uses connections that were in use a moment ago.
constexpr base::milliseconds fresh_connection{1000};
constexpr base::milliseconds any_idle_time{3'600'000};
// A first attempt that takes longer than this part of the objective is given up for another target, so that the answer
// of that one is still on time.
constexpr int objective_parts = 2;
constexpr base::milliseconds shortest_attempt{60};
// When a caller may come back whose request no target took.
constexpr base::milliseconds come_back_after{500};
// Time to place a request that finds no room within its objective.
constexpr base::milliseconds run_time_reserve{60};

} // namespace

asio::awaitable<void> plain_exchange::run() {
    boost::intrusive_ptr<plain_exchange> const self{this};
    request_.client->watch_for_close([self] { self->on_caller_left(); });
    auto answer = co_await find_answer();
    if (caller_left_) {
        log::write(log::event_kind::request_cancelled, {{"request", request_.caller.id}});
        request_.client->end_after_answer();
        co_return;
    }
    std::ignore = co_await request_.client->send(std::move(answer));
}

void plain_exchange::on_caller_left() {
    caller_left_ = true;
    if (current_)
        current_->close();
    parts_.placements.on_capacity_change();
}

placement_need plain_exchange::need() {
    auto wanted = make_need(request_, used_);
    wanted.on_time_until = request_.arrived + request_.route->latency_objective - run_time_reserve;
    wanted.crowd_at = wanted.on_time_until;
    wanted.give_up_at = request_.deadline - run_time_reserve;
    wanted.cancelled = [this] { return caller_left_; };
    return wanted;
}

base::time_point plain_exchange::attempt_limit(base::time_point now) const {
    bool const last = !request_.may_run_again() || runs_ + 1 >= request_.route->maximum_attempts;
    if (last)
        return request_.deadline;
    auto const part = std::max(request_.route->latency_objective / objective_parts, shortest_attempt);
    return std::min<base::time_point>(request_.deadline, now + part);
}

bool plain_exchange::may_send_again(send_result const& last) {
    auto const now = base::clock::now();
    if (caller_left_ || now >= request_.deadline)
        return false;
    auto const allowed = forwarding::may_repeat(facts_of(last));
    if (allowed == forwarding::repetition::none)
        return false;
    bool const free = allowed == forwarding::repetition::free;
    if (!free && !parts_.board.allowance(request_.service).try_spend(parts_.board.fleet.entry_count(), now)) {
        parts_.metrics.add(metrics::counter_kind::retry_budget_exhausted);
        return false;
    }
    parts_.metrics.add(metrics::counter_kind::retries);
    return true;
}

forwarding::attempt_facts plain_exchange::facts_of(send_result const& last) const {
    return {last.outcome, last.server_error(), request_.may_run_again(), runs_, request_.route->maximum_attempts,
            unsent_};
}

asio::awaitable<http::response> plain_exchange::find_answer() {
    parts_.board.allowance(request_.service).count_request(request_.arrived);
    send_result last;
    while (true) {
        auto const target = co_await parts_.placements.place(need());
        if (!target) {
            if (used_.empty())
                co_return own_answer(target.error());
            // Every other target was used already: the outcome at the last one stands.
            break;
        }
        last = co_await send_to(target.value());
        parts_.placements.release(target.value(), request_.caller.id);
        used_.push_back(target.value());
        if (!may_send_again(last))
            break;
        log::write(log::event_kind::request_sent_again,
                   {{"request", request_.caller.id}, {"after", target.value()}, {"reason", last.reason}});
    }
    co_return final_answer(std::move(last));
}

http::response plain_exchange::final_answer(send_result last) {
    auto const conclusion = forwarding::conclude(facts_of(last));
    if (conclusion == forwarding::final_answer::pass_on && last.answer) {
        log::write(log::event_kind::request_finished,
                   {{"request", request_.caller.id}, {"status", last.answer->result_int()}, {"targets", used_.size()}});
        return std::move(*last.answer);
    }
    if (!caller_left_)
        log::write(log::event_kind::request_failed,
                   {{"request", request_.caller.id}, {"reason", last.reason}, {"targets", used_.size()}});
    if (conclusion == forwarding::final_answer::refuse)
        return own_answer(
            base::make_error(base::error_kind::overloaded, "no target took the request", come_back_after));
    auto const kind =
        base::clock::now() >= request_.deadline ? base::error_kind::deadline_exceeded : base::error_kind::link_lost;
    return own_answer(base::make_error(kind, "no answer from the target: " + last.reason));
}

asio::awaitable<send_result> plain_exchange::send_to(std::string target) {
    auto const* view = parts_.board.fleet.find(target);
    if (view == nullptr)
        co_return send_result{send_outcome::not_sent, "target_gone", {}};
    auto const address = view->record.address;
    auto const now = base::clock::now();
    auto const until = attempt_limit(now);
    auto connected = co_await parts_.connections.acquire(
        address, std::min(target_connections::connect_timeout, request_.time_left(now)),
        request_.may_run_again() ? any_idle_time : fresh_connection);
    if (!connected) {
        ++unsent_;
        parts_.placements.record_outcome(target, forwarding::target_outcome::unreachable);
        co_return send_result{send_outcome::not_sent, connected.error().message, {}};
    }
    // The deadline or the caller may have gone while the connection was opened.
    bool const still_allowed = parts_.board.fleet.may_receive(target, base::clock::now());
    if (caller_left_ || base::clock::now() >= request_.deadline || !still_allowed) {
        parts_.connections.release(address, connected.value(), {});
        co_return send_result{send_outcome::not_sent, still_allowed ? "deadline" : "target_leaving", {}};
    }
    current_ = connected.value();
    platform::forwarded_context context;
    context.time_left = request_.time_left(base::clock::now());
    context.target = target;
    context.organisation = request_.organisation == nullptr ? "" : request_.organisation->name;
    auto const message = platform::encode_forwarded(request_.received, context);
    send_result result;
    if (auto const sent = co_await current_->send(message, request_.time_left(base::clock::now())); !sent)
        result = {send_outcome::unknown, sent.error().message, {}};
    else
        result = co_await read_answer(address, current_, until);
    current_.reset();
    if (result.may_have_run())
        ++runs_;
    using enum forwarding::target_outcome;
    if (!caller_left_ && result.may_have_run())
        parts_.placements.record_outcome(
            target, result.outcome == send_outcome::answered && !result.server_error() ? answered : failed);
    if (result.reason == "other_target")
        parts_.board.fleet.mark_leaving(target);
    co_return result;
}

asio::awaitable<send_result> plain_exchange::read_answer(std::string const& address, http::upstream_pointer connection,
                                                         base::time_point until) {
    auto const left = [until] { return std::chrono::duration_cast<base::milliseconds>(until - base::clock::now()); };
    // GCC 12 destroys a braced argument of an awaited call twice, so this is named.
    expected_answer expected{request_.caller.id, request_.received.method() != http::beast_http::verb::head,
                             maximum_answer_bytes, left};
    auto const head = co_await read_own_head(connection, std::move(expected));
    if (!head) {
        connection->close();
        co_return send_result{send_outcome::unknown, head.error().message, {}};
    }
    auto body = co_await connection->read_whole_body(maximum_answer_bytes, left());
    if (!body) {
        connection->close();
        co_return send_result{send_outcome::unknown, body.error().message, {}};
    }
    auto const facts = platform::decode_answer(head.value());
    bool const success = head.value().result_int() < 300;
    bool const genuine = !success || (facts.stamped && !facts.encoded && !facts.request_id.empty());
    if (!genuine) {
        connection->close();
        co_return send_result{send_outcome::unknown, "an answer that is not the target's", {}};
    }
    parts_.connections.release(address, connection, facts.idle_timeout);
    auto const outcome = facts.not_run ? send_outcome::not_run : send_outcome::answered;
    auto reason =
        facts.other_target ? std::string{"other_target"} : "status " + std::to_string(head.value().result_int());
    co_return send_result{outcome, std::move(reason), target_answer(head.value(), std::move(body).value())};
}

} // namespace cyclamenledge::forwarding_entry
