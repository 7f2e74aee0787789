#include "forwarding_entry/stream_exchange.h"

#include "forwarding_entry/answer_limits.h"
#include "forwarding_entry/answer_reader.h"
#include "forwarding_entry/answers.h"
#include "forwarding_entry/copy_slot_client.h"
#include "forwarding_entry/crash_detector.h"
#include "forwarding_entry/reservation_client.h"
#include "forwarding_entry/stated_load_observer.h"
#include "forwarding_entry/stream_origin_client.h"
#include "forwarding_entry/target_inquiry.h"
#include "log/logger.h"
#include "platform/engine_calls.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds unlimited_idle_time{3'600'000};
// A target may close an idle connection at any time, and whether a request sent at that time has run is unknown. A
// request that must not run twice therefore only uses connections that were idle for less than this.
constexpr base::milliseconds maximum_idle_unless_repeatable{1000};
// Events for a caller that reads more slowly than the target sends. Beyond it no more events are read.
constexpr std::size_t maximum_pending_output = 64UL * 1024;
constexpr base::milliseconds output_check_interval{10};
constexpr base::milliseconds stop_check_interval{2};
// Time from the placement at an idle engine to the first event of a long prompt.
constexpr base::milliseconds first_event_reserve{700};
// A request that has found no room may overcommit an engine from this long before it is given up.
constexpr base::milliseconds overcommit_lead{1200};
// Callers abandon a stream without an event after this multiple of its latency objective. A placement later than that
// is useless.
constexpr int objectives_until_abandoned = 4;
constexpr base::milliseconds abandon_margin{700};
// How often a stall is looked at again while nothing can be done about it.
constexpr base::milliseconds stall_check_interval{250};
// Reason of a run that was ended for its replacement.
constexpr std::string_view replaced_reason = "slow";
// Length of a stream on a route without a time limit, for the software versions that may have begun it.
constexpr base::milliseconds longest_stream_without_limit{60'000};
// How often it is looked at whether the list of targets was confirmed, or somebody who knows has answered late.
constexpr base::milliseconds origin_check_interval{20};
// Retry-After of a stream whose beginning is not known here.
constexpr base::milliseconds unknown_origin_delay{300};
// Engines accept replicas up to this share of their memory, which leaves room for new requests.
constexpr double backup_room_share = 0.55;
// Time that an engine takes per token of a run while it serves a few others.
constexpr base::milliseconds engine_time_per_token{10};

bool is_success(http::response_head const& head) {
    return head.result_int() >= 200 && head.result_int() < 300;
}

std::string_view media_type(http::response_head const& head) {
    std::string_view const text = http::header_value(head, "Content-Type");
    return text.substr(0, text.find_first_of("; \t"));
}

bool same_media_type(http::response_head const& first, http::response_head const& second) {
    return boost::beast::iequals(media_type(first), media_type(second));
}

std::string describe_endless(stream_run const& run) {
    return "no end of an event in " + std::to_string(run.splitter.unfinished().size()) + " bytes";
}

std::int64_t milliseconds_since(base::time_point start, base::time_point now) {
    return std::chrono::duration_cast<base::milliseconds>(now - start).count();
}

} // namespace

stream_exchange::stream_exchange(entry_parts& parts, request_context request)
    : parts_(parts)
    , request_(std::move(request))
    , engine_(nullptr)
    , relay_(request_.caller.resume_after.value_or(0))
    , wake_timer_(parts.context)
    , end_timer_(parts.context) {
    auto const* service = request_.routes->find_service(request_.service);
    if (service != nullptr && service->engine)
        engine_ = &*service->engine;
}

asio::awaitable<void> stream_exchange::run() {
    self_pointer const self{this};
    parts_.streams.add(*this);
    parts_.board.retry_budget(request_.service).count_request(request_.arrived);
    request_.client->watch_for_close([self] { self->on_caller_left(); });
    if (request_.caller.resume_after.value_or(0) > 0)
        co_await find_origin();
    wake_timer_.expires_at(request_.deadline);
    while (!caller_left_) {
        if (phase_ == phase::needs_run)
            co_await start_first_run();
        if (!pending_output_.empty())
            co_await write_to_caller();
        if (pending_output_.empty() && phase_ != phase::needs_run && phase_ != phase::running)
            break;
        if (base::clock::now() >= request_.deadline) {
            fail(base::make_error(base::error_kind::deadline_exceeded, "the stream did not end in time"), "deadline");
            break;
        }
        if (pending_output_.empty() && phase_ == phase::running) {
            wake_timer_.expires_at(request_.deadline);
            co_await wake_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
    unlink();
    request_.client->end_watch();
    cancel_others(forwarding::no_run);
    discard_replacement();
    co_await finish();
}

forwarding::origin_source stream_exchange::judge_origin() {
    auto const now = base::clock::now();
    auto const& resumed = request_.caller.resumed_request;
    auto known = resumed.empty() ? std::nullopt : parts_.stream_origins.find(resumed);
    auto const longest = request_.route->timeout.count() > 0 ? request_.route->timeout : longest_stream_without_limit;
    auto sole = parts_.board.fleet.find_sole_version(request_.service, longest, now);
    auto const& announcements = parts_.board.announcements();
    auto const source = forwarding::decide_origin({known.has_value(), sole.has_value(), announcements.confirmed_at(),
                                                   announcements.removals_in_doubt(now), request_.arrived},
                                                  now);
    if (source == forwarding::origin_source::first_event)
        software_version_ = std::move(known);
    else if (source == forwarding::origin_source::sole_version)
        software_version_ = std::move(sole);
    return source;
}

asio::awaitable<void> stream_exchange::find_origin() {
    auto const& resumed = request_.caller.resumed_request;
    origin_answer found;
    if (!resumed.empty())
        found = co_await parts_.stream_origins.look_up(resumed);
    auto source = judge_origin();
    while (source == forwarding::origin_source::undecided && !caller_left_) {
        co_await pause(origin_check_interval);
        source = judge_origin();
    }
    log::write(log::event_kind::stream_taken_up, {{"request", request_.caller.id},
                                                  {"resumes", resumed},
                                                  {"last_event", *request_.caller.resume_after},
                                                  {"software_version", software_version_.value_or("")},
                                                  {"source", forwarding::name_of(source)},
                                                  {"asked", found.asked},
                                                  {"unanswered", found.unanswered}});
    if (software_version_) {
        // A later try finds the version even if this entry was the only one to know it.
        if (!resumed.empty())
            parts_.stream_origins.publish(resumed, *software_version_);
        co_return;
    }
    // Another entry may know more.
    answer_ = make_error_answer(base::make_error(base::error_kind::out_of_service,
                                                 "the software version that began the stream is not known here",
                                                 unknown_origin_delay));
    phase_ = phase::answered;
}

void stream_exchange::set_origin(std::string const& software_version) {
    software_version_ = software_version;
    // Only a caller of such a stream may take it up again.
    if (request_.may_run_again())
        parts_.stream_origins.publish(request_.caller.id, software_version);
}

placement_need stream_exchange::make_need(std::vector<std::string> const& excluded) {
    auto need = make_placement_need(request_, excluded);
    if (software_version_)
        need.request.software_version = &*software_version_;
    need.on_time_until = waits_since() + request_.route->latency_objective - first_event_reserve;
    need.give_up_at =
        std::min<base::time_point>(request_.deadline,
                                   waits_since() + objectives_until_abandoned * request_.route->latency_objective) -
        abandon_margin;
    need.overcommit_at = need.give_up_at - overcommit_lead;
    need.is_cancelled = [this] { return caller_left_ || learn_refusal(); };
    return need;
}

asio::awaitable<void> stream_exchange::start_first_run() {
    auto need = make_need(tried_targets_);
    auto const target = co_await parts_.placements.place(std::move(need));
    if (!target) {
        // The answer may state that the request has not run only if no earlier target may have run it.
        if (possible_runs_ > 0)
            fail(base::make_error(base::error_kind::generation_lost, "no other target can take the request"),
                 base::name_of(target.error().kind));
        else
            answer_ = make_error_answer(refusal_ ? make_poison_refusal(refusal_->time_to_expiry) : target.error());
        if (phase_ == phase::needs_run)
            phase_ = phase::answered;
        co_return;
    }
    if (caller_left_) {
        parts_.placements.withdraw(target.value(), request_.caller.id);
        co_return;
    }
    start_run_at(target.value(), nullptr);
}

base::milliseconds stream_exchange::maximum_idle() const {
    return request_.may_run_again() ? unlimited_idle_time : maximum_idle_unless_repeatable;
}

void stream_exchange::start_run_at(std::string const& target, http::upstream_pointer connection) {
    auto const started = make_run(relay_.start_run(), target);
    started->prepared_connection = std::move(connection);
    if (relay_.passed_any() || relay_.position() > 0)
        started->context.resume_after = relay_.position();
    choose_backup(*started);
    phase_ = phase::running;
    launch(started);
}

void stream_exchange::choose_backup(stream_run& started) {
    // A resumable stream is generated again at another target, which costs less than a second reservation.
    if (engine_ == nullptr || !engine_->backups || request_.may_run_again())
        return;
    forwarding::copy_request copy;
    copy.request = request_.placement();
    copy.request.software_version = &started.software_version;
    copy.source = started.target;
    copy.tokens = request_.caller.size ? request_.caller.size->expected_memory() : 0;
    copy.room_share = backup_room_share;
    copy.widest = forwarding::copy_span::same_domain;
    auto const chosen = parts_.board.fleet.choose_copy_holder(copy, base::clock::now());
    if (chosen.kind != forwarding::placement_kind::placed)
        return;
    parts_.board.fleet.reserve_copy(chosen.target, copy.tokens, base::clock::now());
    started.backup_target = chosen.target;
    started.context.backup_address = parts_.board.fleet.find(chosen.target)->record.address;
}

stream_run_pointer stream_exchange::make_run(forwarding::run_number number, std::string const& target) {
    stream_run_pointer created{new stream_run};
    created->number = number;
    created->target = target;
    if (auto const* view = parts_.board.fleet.find(target)) {
        created->address = view->record.address;
        created->target_started_at = view->record.started_at;
        created->software_version = view->record.software_version;
    }
    created->answer_memory = base::byte_lease{parts_.answer_memory};
    created->context.target = target;
    created->context.organisation = request_.organisation == nullptr ? "" : request_.organisation->name;
    if (parts_.board.fleet.under_overload_control(request_.service))
        created->context.priority = request_.urgency().engine_level();
    return created;
}

void stream_exchange::launch(stream_run_pointer const& started) {
    runs_.push_back(started);
    started->stall_timer.emplace(parts_.context);
    asio::co_spawn(parts_.context, watch_for_stall(self_pointer{this}, started), asio::detached);
    asio::co_spawn(
        parts_.context,
        [self = self_pointer{this}, started]() -> asio::awaitable<void> { co_await self->serve_run(started); },
        asio::detached);
}

stream_run_pointer stream_exchange::find_run(forwarding::run_number number) const {
    auto const found = std::ranges::find(runs_, number, [](auto const& run) { return run->number; });
    return found == runs_.end() ? nullptr : *found;
}

asio::awaitable<void> stream_exchange::serve_run(stream_run_pointer current) {
    auto result = co_await send_and_read(current);
    current->ended = true;
    current->stall_timer->cancel();
    bool const replaced = replacement_ && replacement_->replaced == current->number;
    if (replaced && result.outcome == send_outcome::unknown)
        result.reason = replaced_reason;
    current->connection.reset();
    std::erase(runs_, current);
    log_run_ended(*current, result);
    if (result.outcome == send_outcome::not_sent)
        parts_.placements.withdraw(current->target, request_.caller.id);
    else
        parts_.placements.release(current->target, request_.caller.id, describe_end(*current, result));
    if (result.may_have_run())
        ++possible_runs_;
    if (result.outcome == send_outcome::not_sent)
        ++unsent_attempts_;
    if (result.connection_lost && !current->cancelled && !current->stop_asked && !caller_left_) {
        // GCC 12 destroys a braced argument of an awaited call twice, so this is named.
        auto const now = base::clock::now();
        lost_run lost{request_.caller.id, request_.content,
                      current->sent_at,   now,
                      current->events,    current->shows_sound_prompt(now)};
        co_await parts_.crashes.examine(current->target, std::move(lost));
    }
    bool const succeeded = result.outcome == send_outcome::answered && !result.server_error();
    if (succeeded) {
        parts_.suspects.on_success(request_.content.fingerprint);
        parts_.suspects.on_part_success(request_.content);
    }
    using enum forwarding::target_outcome;
    // The end of a run at a leaving target is expected and does not count against the target's health.
    auto const* view = parts_.board.fleet.find(current->target);
    bool const target_leaving = view != nullptr && view->leaving(base::clock::now());
    bool const judged = !current->cancelled && !current->stop_asked && !caller_left_ && !target_leaving;
    if (judged && result.may_have_run() && !result.held_off)
        parts_.placements.record_outcome(current->target, succeeded ? answered : failed);
    if (result.reason == "other_target")
        parts_.notices.on_replaced({current->target, current->target_started_at}, request_.caller.id);
    on_end(current, std::move(result));
    if (replaced)
        discard_replacement();
    end_timer_.cancel();
    wake();
}

void stream_exchange::log_run_sent(stream_run const& started) const {
    auto const& copy = started.context.resume_from;
    log::write(log::event_kind::run_sent, {{"request", request_.caller.id},
                                           {"run", started.number},
                                           {"target", started.target},
                                           {"target_started_at", started.target_started_at},
                                           {"from", copy ? copy->address + "/" + copy->name : std::string{}},
                                           {"last_event", started.context.resume_after.value_or(0)}});
}

void stream_exchange::log_run_ended(stream_run const& ended, send_result const& result) {
    auto const now = base::clock::now();
    base::milliseconds overlap{0};
    for (auto const& other : runs_)
        overlap = std::max(overlap, ended.overlap_with(*other, now));
    if (overlap > longest_run_overlap)
        parts_.metrics.add(metrics::counter_kind::run_overlaps);
    std::string_view ended_by = "target";
    if (result.outcome == send_outcome::not_sent)
        ended_by = "not_sent";
    else if (result.outcome != send_outcome::unknown)
        ended_by = "answer";
    else if (!result.connection_lost || ended.cancelled)
        ended_by = "entry";
    auto const since_sent = [&](base::time_point at) { return ended.sent ? milliseconds_since(ended.sent_at, at) : 0; };
    log::write(log::event_kind::run_ended, {{"request", request_.caller.id},
                                            {"run", ended.number},
                                            {"target", ended.target},
                                            {"ended_by", ended_by},
                                            {"reason", result.reason},
                                            {"events", ended.events},
                                            {"first_event", ended.first_event_id},
                                            {"last_event", ended.last_event_id},
                                            {"framing", http::name_of(ended.framing)},
                                            {"first_event_ms", ended.events > 0 ? since_sent(ended.first_event_at) : 0},
                                            {"lasted_ms", since_sent(now)},
                                            {"overlap_ms", overlap.count()}});
}

run_end stream_exchange::describe_end(stream_run const& ended, send_result const& result) const {
    if (!parts_.board.fleet.under_overload_control(request_.service))
        return {};
    if (ended.received_event)
        return {run_outcome::served, ended.stated_pace};
    auto const* view = parts_.board.fleet.find(ended.target);
    bool const expected =
        ended.cancelled || caller_left_ || result.held_off || view == nullptr || view->leaving(base::clock::now());
    bool const answered_with_error = result.outcome == send_outcome::answered && result.server_error();
    bool const failed = result.outcome == send_outcome::unknown || answered_with_error;
    return {failed && !expected ? run_outcome::failed : run_outcome::not_known, ended.stated_pace};
}

asio::awaitable<send_result> stream_exchange::send_and_read(stream_run_pointer current) {
    auto connection = std::exchange(current->prepared_connection, nullptr);
    if (!connection) {
        auto const connected = co_await parts_.connections.acquire(current->address, request_.caller.id,
                                                                   target_connections::connect_timeout, maximum_idle());
        if (!connected) {
            parts_.placements.record_outcome(current->target, forwarding::target_outcome::unreachable);
            co_return send_result{send_outcome::not_sent, connected.error().message, {}};
        }
        connection = connected.value();
    }
    auto const left = request_.time_left(base::clock::now());
    bool const still_allowed =
        current->at_stopped_source || parts_.board.fleet.may_receive(current->target, base::clock::now());
    if (current->cancelled || caller_left_ || left.count() <= 0 || !still_allowed) {
        parts_.connections.release(current->address, connection, {});
        co_return send_result{send_outcome::not_sent, "no longer wanted", {}};
    }
    // Another incarnation under the same id may run other software.
    auto const* view = parts_.board.fleet.find(current->target);
    if (view == nullptr || view->replaced || view->record.started_at != current->target_started_at) {
        parts_.connections.release(current->address, connection, {});
        co_return send_result{send_outcome::not_sent, "target_replaced", {}};
    }
    if (learn_refusal()) {
        parts_.connections.release(current->address, connection, {});
        co_return send_result{send_outcome::not_sent, std::string{base::name_of(base::error_kind::poison_request)}, {}};
    }
    current->connection = std::move(connection);
    current->context.time_left = left;
    current->sent = true;
    current->sent_at = base::clock::now();
    current->progress_at = current->sent_at;
    auto const message = platform::encode_forwarded(request_.received, current->context);
    log_run_sent(*current);
    if (auto const sent = co_await current->connection->send(message, left); !sent)
        co_return make_unknown_result(sent.error());
    // GCC 12 destroys a braced argument of an awaited call twice, so this is named.
    expected_answer expected{
        request_.caller.id, true, maximum_refusal_bytes, [this] { return request_.time_left(base::clock::now()); },
        parts_.notices.make_handler({current->target, current->target_started_at}, request_.caller.id)};
    auto const head = co_await read_matching_head(current->connection, std::move(expected));
    if (!head) {
        current->connection->close();
        co_return make_unknown_result(head.error());
    }
    current->framing = current->connection->framing();
    co_return co_await read_events(current, head.value());
}

asio::awaitable<send_result> stream_exchange::read_events(stream_run_pointer current, http::response_head head) {
    auto const connection = current->connection;
    auto const facts = platform::decode_answer(head);
    parts_.permits.on_answer(current->target, request_.caller.id, facts);
    current->stated_pace =
        apply_stated_load(parts_, request_.service, {current->target, current->target_started_at}, facts);
    bool const genuine = facts.stamped && !facts.encoded && !facts.request_id.empty();
    if (is_success(head) && !genuine) {
        connection->close();
        co_return send_result{send_outcome::unknown, "an answer that is not the target's", {}};
    }
    if (head.result_int() != 200) {
        auto body = co_await connection->read_whole_body(maximum_refusal_bytes, request_.time_left(base::clock::now()),
                                                         &current->answer_memory);
        if (!body) {
            connection->close();
            co_return make_unknown_result(body.error());
        }
        parts_.connections.release(current->address, connection, facts.idle_timeout);
        if (facts.unproven_refusal)
            co_return make_unproven_refusal(facts.notices.hold_off.has_value());
        auto reason = facts.other_target ? std::string{"other_target"} : "status " + std::to_string(head.result_int());
        co_return send_result{facts.not_run ? send_outcome::not_run : send_outcome::answered, std::move(reason),
                              make_caller_answer(head, std::move(body).value())};
    }
    if (relay_.passed_any() && !same_media_type(*head_, head)) {
        connection->close();
        co_return send_result{send_outcome::unknown, "an answer of another media type", {}};
    }
    current->head = make_caller_head(head);
    while (true) {
        auto const part = co_await connection->read_body(request_.time_left(base::clock::now()));
        if (!part) {
            connection->close();
            co_return make_unknown_result(part.error());
        }
        if (current->cancelled)
            co_return send_result{send_outcome::unknown, "cancelled", {}};
        if (part.value().empty())
            break;
        current->splitter.append(part.value());
        bool const in_order = forward_events(*current);
        bool const fits = current->answer_memory.resize(current->splitter.memory()) && !current->splitter.malformed();
        if (!in_order || !fits) {
            connection->close();
            if (!in_order)
                parts_.metrics.add(metrics::counter_kind::stream_order_breaks);
            co_return send_result{send_outcome::unknown, fits ? "events out of order" : describe_endless(*current), {}};
        }
        co_await wait_for_caller(*current);
    }
    if (current->splitter.inside_event()) {
        connection->close();
        co_return send_result{send_outcome::unknown, "the stream ended inside an event", {}};
    }
    bool whole = current->framing != http::answer_framing::connection_end;
    if (!whole)
        whole = co_await ended_whole(current);
    if (!whole) {
        connection->close();
        if (current->cancelled)
            co_return send_result{send_outcome::unknown, "cancelled", {}};
        // The end of a stopped run is no fault.
        if (current->stop_effect == forwarding::stop_effect::none)
            parts_.metrics.add(metrics::counter_kind::stream_order_breaks);
        co_return send_result{send_outcome::unknown, "the connection ended, which does not end the stream", {}, true};
    }
    bool const other_is_active = relay_.active() != forwarding::no_run && relay_.active() != current->number;
    if (!other_is_active && !relay_.may_end_stream(current->number)) {
        connection->close();
        co_return send_result{send_outcome::unknown, "an answer without an event of the stream", {}};
    }
    if (current->number == relay_.active()) {
        use_head_of(*current);
        pending_output_ += current->splitter.unfinished();
    }
    parts_.connections.release(current->address, connection, facts.idle_timeout);
    co_return send_result{send_outcome::answered, "complete", {}};
}

void stream_exchange::use_head_of(stream_run const& run) {
    if (event_count_ == 0)
        head_ = run.head;
}

asio::awaitable<bool> stream_exchange::ended_whole(stream_run_pointer current) {
    // The target is asked now, which is no stall.
    current->progress_at = base::clock::now();
    while (current->stopping && !current->stop_answered)
        co_await pause(stop_check_interval);
    // The caller has left, or another run serves it.
    if (current->cancelled || caller_left_)
        co_return false;
    target_inquiry asked;
    asked.request = request_.caller.id;
    asked.run = current->number;
    asked.target = current->target;
    asked.address = current->address;
    asked.started_at = current->target_started_at;
    asked.reports = engine_ != nullptr;
    asked.deadline = request_.deadline;
    asked.stopped = current->stop_effect;
    co_return co_await connection_ends_answer(parts_, std::move(asked));
}

std::string stream_exchange::describe_room(std::string const& target) const {
    auto const* view = parts_.board.fleet.find(target);
    if (view == nullptr || !view->report)
        return "unknown";
    auto const& report = *view->report;
    return std::to_string(report.used_tokens) + "/" + std::to_string(report.total_tokens) + " tokens, " +
           std::to_string(report.running) + "+" + std::to_string(report.queued) + " requests, " +
           std::to_string(milliseconds_since(view->reported_at, base::clock::now())) + " ms old";
}

bool stream_exchange::forward_events(stream_run& current) {
    auto const now = base::clock::now();
    while (auto const event = current.splitter.next()) {
        current.received_event = true;
        if (current.events++ == 0) {
            current.first_event_at = now;
            current.first_event_id = event->id.value_or(0);
        }
        current.last_event_id = event->id.value_or(current.last_event_id);
        if (!current.prompt_reported && current.shows_sound_prompt(now)) {
            current.prompt_reported = true;
            parts_.suspects.on_part_success(request_.content);
        }
        current.progress_at = now;
        if (software_version_ && current.software_version != *software_version_)
            return false;
        auto const before = relay_.active();
        auto const verdict = relay_.on_event(current.number, event->id);
        if (verdict == forwarding::event_verdict::gap)
            return false;
        if (before != relay_.active())
            on_takeover(current, *event);
        if (verdict == forwarding::event_verdict::drop)
            continue;
        if (!software_version_)
            set_origin(current.software_version);
        if (event_count_ == 0)
            log::write(log::event_kind::stream_started, {{"request", request_.caller.id},
                                                         {"target", current.target},
                                                         {"software_version", current.software_version},
                                                         {"after_ms", milliseconds_since(request_.arrived, now)},
                                                         {"engine_ms", milliseconds_since(current.sent_at, now)}});
        if (event_count_ > 0)
            longest_gap_ = std::max(longest_gap_, std::chrono::duration_cast<base::milliseconds>(now - last_event_at_));
        last_event_at_ = now;
        use_head_of(current);
        if (event_count_++ == 0)
            first_event_id_ = event->id.value_or(0);
        pending_output_ += event->bytes;
    }
    wake();
    return true;
}

asio::awaitable<void> stream_exchange::wait_for_caller(stream_run& current) {
    while (pending_output_.size() > maximum_pending_output && !caller_left_ && !current.cancelled) {
        if (base::clock::now() >= request_.deadline) {
            // The caller reads too slowly or not at all, so what is being written to it may have no end.
            request_.client->close();
            on_caller_left();
            co_return;
        }
        co_await pause(output_check_interval);
        current.progress_at = base::clock::now();
    }
}

void stream_exchange::on_takeover(stream_run const& successor, forwarding::stream_event const& event) {
    auto const now = base::clock::now();
    log::write(log::event_kind::stream_switched,
               {{"request", request_.caller.id},
                {"target", successor.target},
                {"software_version", successor.software_version},
                {"first_event", event.id.value_or(0)},
                {"last_event", relay_.position()},
                {"gap_ms", event_count_ == 0 ? 0 : milliseconds_since(last_event_at_, now)}});
    ++takeovers_;
    stopped_run_.reset();
    next_copies_.clear();
}

void stream_exchange::cancel_others(forwarding::run_number kept) {
    // A cancelled run ends in its own coroutine, which changes the list, so the loop uses a copy.
    auto const runs = runs_;
    for (auto const& run : runs) {
        if (run->number != kept)
            run->cancel();
    }
}

void stream_exchange::on_end(stream_run_pointer ended, send_result result) {
    if (caller_left_ || phase_ != phase::running)
        return;
    bool const was_active = ended->number == relay_.active();
    bool const complete = result.outcome == send_outcome::answered && !result.answer;
    switch (relay_.on_end(ended->number, complete)) {
    case forwarding::end_verdict::complete:
        phase_ = phase::complete;
        ended_by_ = ended;
        use_head_of(*ended);
        return;
    case forwarding::end_verdict::keep_open:
        if (!was_active && !ended->cancelled)
            log::write(log::event_kind::stream_copy_failed,
                       {{"request", request_.caller.id}, {"target", ended->target}, {"reason", result.reason}});
        return;
    case forwarding::end_verdict::recover:
        tried_targets_.push_back(ended->target);
        if (ended->stopping)
            ended->end_while_stopping = std::move(result);
        else
            recover(ended, std::move(result));
        return;
    }
}

void stream_exchange::recover(stream_run_pointer ended, send_result result) {
    if (!relay_.can_go_on()) {
        fail(
            base::make_error(base::error_kind::generation_lost, "the stream cannot go on after an event without an id"),
            result.reason);
        return;
    }
    bool const refused = learn_refusal();
    // A target that has refused the copy has not run the request, so the next copy is tried.
    if (!refused && !result.may_have_run() && start_from_next_copy(charge_state::open))
        return;
    if (!refused && result.may_have_run() && has_copy(*ended)) {
        asio::co_spawn(parts_.context, hand_over_lost(self_pointer{this}, ended, std::move(result)), asio::detached);
        return;
    }
    recover_without_copy(*ended, std::move(result));
}

void stream_exchange::recover_without_copy(stream_run& ended, send_result result) {
    bool const refused = learn_refusal();
    auto const facts = make_attempt_facts(result);
    if (replacement_ && replacement_->replaced == ended.number && !refused) {
        start_replacement(result.reason);
        return;
    }
    bool const passed = relay_.passed_any();
    auto const decision = decide_retry(parts_, request_.service, facts);
    not_repeated_ = decision.reason;
    if (decision.allowed) {
        log_retry(passed ? log::event_kind::stream_recovered : log::event_kind::request_sent_again, request_.caller.id,
                  tried_targets_.back(), result.reason, decision);
        phase_ = phase::needs_run;
        return;
    }
    auto const conclusion = forwarding::conclude(facts);
    if (!passed && result.answer && conclusion == forwarding::final_answer::pass_on) {
        answer_ = std::move(result.answer);
        if (result.outcome == send_outcome::not_run)
            set_return_time(*answer_, parts_.placements.return_time(request_.placement()));
        phase_ = phase::answered;
        return;
    }
    if (conclusion == forwarding::final_answer::refuse && refused) {
        fail(make_poison_refusal(refusal_->time_to_expiry), result.reason);
        return;
    }
    if (conclusion == forwarding::final_answer::refuse) {
        auto const return_time = parts_.placements.return_time(request_.placement());
        fail(base::make_error(base::error_kind::overloaded, "no target took the request", return_time), result.reason);
        return;
    }
    fail(base::make_error(base::error_kind::generation_lost, "the target was lost: " + result.reason), result.reason);
}

bool stream_exchange::learn_refusal() {
    if (!refusal_)
        refusal_ = parts_.suspects.find_refusal(request_.content);
    return refusal_.has_value();
}

forwarding::attempt_facts stream_exchange::make_attempt_facts(send_result const& last) const {
    // The request may have run at an earlier target even if the refusal of a successor states that it has not run.
    return {last.outcome,
            last.server_error(),
            request_.may_run_again(),
            possible_runs_,
            request_.route->maximum_attempts,
            unsent_attempts_,
            refusal_.has_value()};
}

std::optional<forwarding::stall_rule> stream_exchange::stall_rule_of(stream_run const& current) const {
    bool const may_repeat = request_.may_run_again() && possible_runs_ + 1 < request_.route->maximum_attempts;
    bool const began = current.received_event || current.context.resume_from;
    return forwarding::rule_for_stall({began, has_copy(current), may_repeat, request_.route->latency_objective});
}

asio::awaitable<void> stream_exchange::watch_for_stall(self_pointer, stream_run_pointer current) {
    auto& timer = *current->stall_timer;
    timer.expires_after(stall_check_interval);
    while (true) {
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (current->ended || current->cancelled || caller_left_ || phase_ != phase::running)
            co_return;
        auto const now = base::clock::now();
        auto const rule = stall_rule_of(*current);
        // A copy that has not taken over yet has its own timeout while another run is left.
        bool const active = current->number == relay_.active() ||
                            (relay_.active() == forwarding::no_run && current->number == relay_.successor());
        bool const awaited = current->sent && active;
        auto const due = rule && awaited ? current->progress_at + rule->after : now + stall_check_interval;
        if (now < due) {
            timer.expires_at(due);
            continue;
        }
        if (co_await handle_stall(current, rule->action))
            co_return;
        timer.expires_after(stall_check_interval);
    }
}

asio::awaitable<bool> stream_exchange::handle_stall(stream_run_pointer current, forwarding::stall_action action) {
    if (moving_ || learn_refusal())
        co_return false;
    if (action == forwarding::stall_action::resume_from_backup) {
        auto const now = base::clock::now();
        auto& budget = parts_.board.retry_budget(request_.service);
        // The stalled run may still go on, so resuming elsewhere is a retry like others.
        if (!budget.try_spend(parts_.board.fleet.count_entries(now), now))
            co_return false;
        if (!has_copy(*current) && next_copies_.empty()) {
            budget.give_back(now);
            co_return false;
        }
        moving_ = true;
        bool const taken_over = co_await hand_over(current, forwarding::run_condition::stalled);
        moving_ = false;
        if (taken_over)
            parts_.placements.record_outcome(current->target, forwarding::target_outcome::failed);
        else
            budget.give_back(now);
        // The engine may have begun to leave meanwhile.
        on_fleet_change();
        co_return taken_over;
    }
    auto prepared = co_await prepare_replacement(current);
    if (!prepared)
        co_return false;
    bool const progressed =
        base::clock::now() < current->progress_at + stall_rule_of(*current).value_or(forwarding::stall_rule{}).after;
    if (current->ended || current->cancelled || caller_left_ || progressed || moving_) {
        withdraw(*prepared);
        co_return false;
    }
    replacement_ = std::move(prepared);
    current->connection->close();
    co_return true;
}

asio::awaitable<std::optional<stream_exchange::prepared_run>>
stream_exchange::prepare_replacement(stream_run_pointer current) {
    auto facts = make_attempt_facts(send_result{send_outcome::unknown, {}, {}});
    ++facts.runs;
    prepared_run prepared;
    prepared.decision = ask_retry(parts_, request_.service, facts);
    if (!prepared.decision.allowed)
        co_return std::nullopt;
    auto excluded = tried_targets_;
    excluded.push_back(current->target);
    auto need = make_need(excluded);
    need.overcommit_at = base::time_point::max();
    auto const target = co_await parts_.placements.place_now(std::move(need));
    auto const* view = target ? parts_.board.fleet.find(*target) : nullptr;
    if (view == nullptr) {
        give_back(parts_, request_.service, prepared.decision);
        co_return std::nullopt;
    }
    prepared.target = *target;
    prepared.replaced = current->number;
    auto const connected = co_await parts_.connections.acquire(
        view->record.address, request_.caller.id, target_connections::connect_timeout, unlimited_idle_time);
    if (!connected) {
        parts_.placements.record_outcome(prepared.target, forwarding::target_outcome::unreachable);
        withdraw(prepared);
        co_return std::nullopt;
    }
    prepared.connection = connected.value();
    co_return prepared;
}

void stream_exchange::start_replacement(std::string_view last_reason) {
    auto const chosen = *std::exchange(replacement_, std::nullopt);
    parts_.metrics.add(metrics::counter_kind::retries);
    log_retry(relay_.passed_any() ? log::event_kind::stream_recovered : log::event_kind::request_sent_again,
              request_.caller.id, tried_targets_.back(), last_reason, chosen.decision);
    start_run_at(chosen.target, chosen.connection);
}

void stream_exchange::discard_replacement() {
    if (replacement_)
        withdraw(*std::exchange(replacement_, std::nullopt));
}

void stream_exchange::withdraw(prepared_run const& unused) {
    parts_.placements.withdraw(unused.target, request_.caller.id);
    give_back(parts_, request_.service, unused.decision);
    auto const* view = parts_.board.fleet.find(unused.target);
    if (unused.connection && view != nullptr)
        parts_.connections.release(view->record.address, unused.connection, {});
}

void stream_exchange::fail(base::error failure, std::string_view reason) {
    log::write(log::event_kind::request_failed, {{"request", request_.caller.id},
                                                 {"reason", reason},
                                                 {"events", event_count_},
                                                 {"targets", possible_runs_},
                                                 {"not_repeated", not_repeated_}});
    if (!head_sent_ && !relay_.passed_any()) {
        answer_ = make_error_answer(failure);
        phase_ = phase::answered;
    } else {
        phase_ = phase::failed;
    }
    wake();
}

std::uint32_t stream_exchange::tokens_held() const {
    auto const prompt = request_.caller.size ? request_.caller.size->prompt : 0;
    return prompt + static_cast<std::uint32_t>(event_count_) * (engine_ == nullptr ? 1 : engine_->tokens_per_event);
}

base::milliseconds stream_exchange::expected_remaining() const {
    auto const size = request_.caller.size.value_or(forwarding::generation_size{});
    auto const expected = std::max(size.expected_output(), 1U);
    auto const generated =
        static_cast<std::uint32_t>(event_count_) * (engine_ == nullptr ? 1 : engine_->tokens_per_event);
    return engine_time_per_token * (expected > generated ? expected - generated : 1);
}

asio::awaitable<void> stream_exchange::pause(base::milliseconds length) {
    asio::steady_timer timer{parts_.context, length};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> stream_exchange::write_to_caller() {
    if (!head_sent_) {
        head_sent_ = true;
        if (!co_await request_.client->start_stream(*head_)) {
            on_caller_left();
            co_return;
        }
    }
    auto const text = std::exchange(pending_output_, {});
    if (!text.empty() && !co_await request_.client->send_chunk(text))
        on_caller_left();
}

asio::awaitable<void> stream_exchange::finish() {
    if (caller_left_) {
        log::write(log::event_kind::request_cancelled, {{"request", request_.caller.id}, {"events", event_count_}});
        request_.client->end_after_answer();
        request_.client->close();
        co_return;
    }
    if (phase_ == phase::answered && answer_) {
        std::ignore = co_await request_.client->send(std::move(*answer_));
        co_return;
    }
    if (phase_ == phase::complete) {
        if (!head_sent_ && head_) {
            head_sent_ = true;
            std::ignore = co_await request_.client->start_stream(*head_);
        }
        std::ignore = co_await request_.client->finish_stream();
        log::write(log::event_kind::request_finished, {{"request", request_.caller.id},
                                                       {"events", event_count_},
                                                       {"first_event", first_event_id_},
                                                       {"last_event", relay_.position()},
                                                       {"run", ended_by_->number},
                                                       {"framing", http::name_of(ended_by_->framing)},
                                                       {"switches", takeovers_},
                                                       {"longest_gap_ms", longest_gap_.count()}});
        co_return;
    }
    // Closing without the last chunk shows the caller that the answer is incomplete.
    request_.client->end_after_answer();
    request_.client->close();
}

void stream_exchange::on_caller_left() {
    caller_left_ = true;
    cancel_others(forwarding::no_run);
    parts_.placements.on_capacity_change();
    end_timer_.cancel();
    wake();
}

} // namespace cyclamenledge::forwarding_entry
