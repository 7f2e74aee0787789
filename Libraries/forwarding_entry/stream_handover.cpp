// The part of stream_exchange that hands a stream over from one target to another.

#include "forwarding_entry/copy_slot_client.h"
#include "forwarding_entry/reservation_client.h"
#include "forwarding_entry/run_stopper.h"
#include "forwarding_entry/stream_exchange.h"
#include "log/logger.h"
#include "platform/engine_calls.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

using forwarding::memory_place;
using forwarding::run_condition;
using forwarding::stop_outcome;

constexpr base::milliseconds unlimited_idle_time{3'600'000};
constexpr base::milliseconds copy_timeout{2000};
// The copy of a stopped run waits for other copies on the links of both engines, which would be a pause of the stream.
// So the memory is copied again while the run goes on, until a copy did not have to wait.
constexpr base::milliseconds short_copy{60};
constexpr int maximum_copies = 3;
// What a stopped target has still sent arrives within it, unless its connection has gone silent.
constexpr base::milliseconds tail_timeout{200};
constexpr base::milliseconds move_retry_pause{40};
constexpr int maximum_move_attempts = 40;
constexpr base::milliseconds opening_check_interval{2};
// Callers give a stream up two seconds after its last event.
constexpr base::milliseconds longest_wait_for_end{1800};
constexpr base::milliseconds stop_retry_pause{100};
// A leaving target gets no request 2.5 s after it was known to leave. The metadata store may have told it before this
// process began to move its streams.
constexpr base::milliseconds time_to_return{1500};
// Tokens that a request generates while its memory is copied.
constexpr std::uint32_t copy_headroom_tokens = 200;
// The TCP window limits a copy between regions, not the engines' links. No other copy uses the link meanwhile.
constexpr std::uint32_t wide_area_tokens_per_millisecond = 2;
// Engines accept copies up to this share of their memory.
constexpr double copy_room_share = 0.97;

/// Whether another resumption may be sent to take over from the run.
bool may_resume(stream_run const& source) {
    return source.resumptions < forwarding::maximum_resumptions_per_run;
}

std::int64_t milliseconds_since(base::time_point start) {
    return std::chrono::duration_cast<base::milliseconds>(base::clock::now() - start).count();
}

bool was_stopped(stop_outcome outcome) {
    return outcome == stop_outcome::moved || outcome == stop_outcome::kept;
}

} // namespace

bool stream_exchange::has_copy(stream_run const& source) const {
    if (!may_resume(source) || !relay_.can_go_on())
        return false;
    // The memory is replicated while the run generates, so without an event there may be no replica, and a target that
    // does not check for it would run the request again.
    bool const own = source.received_event && (source.copy || !source.backup_target.empty());
    return own || !next_copies_.empty();
}

std::string stream_exchange::stop_destination(stream_run const& source) const {
    if (!source.copy_destination.empty())
        return source.copy_destination;
    if (!source.context.backup_address.empty())
        return source.context.backup_address;
    auto const* view = next_copies_.empty() ? nullptr : parts_.board.fleet.find(next_copies_.front().target);
    return view == nullptr ? std::string{} : view->record.address;
}

asio::awaitable<stop_answer> stream_exchange::stop(stream_run_pointer source, run_condition condition) {
    auto const asked_at = base::clock::now();
    source->stop_asked = true;
    // Without the call, closing the connection is all that can be done.
    stop_answer answer;
    answer.outcome = stop_outcome::unreachable;
    if (engine_ != nullptr && engine_->moves) {
        stop_request wanted;
        wanted.request = request_.caller.id;
        wanted.target = source->target;
        wanted.target_started_at = source->target_started_at;
        wanted.address = source->address;
        wanted.destination = stop_destination(*source);
        wanted.events = source->events;
        wanted.condition = condition;
        wanted.run_connection = [source] {
            return source->ended ? forwarding::run_connection::ended : forwarding::run_connection::open;
        };
        wanted.connection = std::exchange(source->stop_connection, nullptr);
        answer = co_await stop_run(parts_, std::move(wanted));
    }
    // The run goes on, and its end is judged like any other.
    if (!source->ended && (answer.outcome == stop_outcome::not_running || answer.outcome == stop_outcome::not_stopped))
        source->stop_asked = false;
    log::write(log::event_kind::run_stopped, {{"request", request_.caller.id},
                                              {"run", source->number},
                                              {"target", source->target},
                                              {"condition", forwarding::name_of(condition)},
                                              {"outcome", forwarding::name_of(answer.outcome)},
                                              {"call", forwarding::name_of(answer.call)},
                                              {"evidence", forwarding::name_of(answer.evidence)},
                                              {"handle", answer.handle},
                                              {"local_port", answer.local_port},
                                              {"earlier_requests", answer.earlier_requests},
                                              {"events", answer.events.value_or(0)},
                                              {"last_event", relay_.position()},
                                              {"duration_ms", milliseconds_since(asked_at)}});
    co_return answer;
}

asio::awaitable<void> stream_exchange::wait_for_end(stream_run_pointer source) {
    auto const limit = base::clock::now() + tail_timeout;
    while (!source->ended && phase_ == phase::running && !caller_left_ && base::clock::now() < limit) {
        end_timer_.expires_at(limit);
        co_await end_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::vector<stream_exchange::resumable_copy>
stream_exchange::take_copies(stream_run& source, std::span<memory_place const> places, stop_answer const& stopped) {
    std::vector<resumable_copy> taken;
    auto earlier = std::exchange(next_copies_, {});
    auto const made = std::exchange(source.copy, std::nullopt);
    auto const backup_target = std::exchange(source.backup_target, {});
    auto const& destination = source.copy_target.empty() ? backup_target : source.copy_target;
    platform::memory_copy const own{source.address, stopped.handle};
    for (auto const place : places) {
        switch (place) {
        case memory_place::destination:
            if (!destination.empty())
                taken.push_back({destination, own, false, std::exchange(source.next_connection, nullptr)});
            break;
        case memory_place::source:
            taken.push_back({source.target, own, true, nullptr});
            break;
        case memory_place::earlier_copy:
            // A copy that was made before at the destination is part of the one that the call has completed.
            if (made && !(stopped.outcome == stop_outcome::moved && source.copy_holder == destination))
                taken.push_back({source.copy_holder, *made, false, nullptr});
            if (!backup_target.empty() && source.received_event)
                taken.push_back({backup_target, {source.context.backup_address, request_.caller.id}, false, nullptr});
            std::ranges::move(earlier, std::back_inserter(taken));
            break;
        }
    }
    return taken;
}

bool stream_exchange::may_return_to_source(stream_run const& source) const {
    auto const now = base::clock::now();
    auto const& fleet = parts_.board.fleet;
    auto const* view = fleet.find(source.target);
    if (view == nullptr || fleet.held_off(source.target, now) || fleet.evacuated(view->record.failure_domain))
        return false;
    if (!view->leaving(now))
        return true;
    return source.leaving_since && now - *source.leaving_since < time_to_return;
}

bool stream_exchange::start_from_next_copy(charge_state charge) {
    while (!next_copies_.empty()) {
        auto copy = std::move(next_copies_.front());
        next_copies_.erase(next_copies_.begin());
        if (!stopped_run_ || !may_resume(*stopped_run_) || !relay_.can_go_on())
            return false;
        bool const usable = copy.at_stopped_source ? may_return_to_source(*stopped_run_)
                                                   : parts_.board.fleet.may_receive(copy.target, base::clock::now());
        if (!usable) {
            if (copy.connection)
                copy.connection->close();
            continue;
        }
        if (charge == charge_state::open && !charge_resumption(*stopped_run_))
            return false;
        // No connection of an earlier run is open when the next one begins.
        cancel_others(forwarding::no_run);
        launch(make_resuming_run(relay_.start_successor(), *stopped_run_, std::move(copy)));
        return true;
    }
    return false;
}

asio::awaitable<bool> stream_exchange::hand_over(stream_run_pointer source, run_condition condition) {
    source->stopping = true;
    source->stop_answered = false;
    auto const answer = co_await stop(source, condition);
    source->stop_effect = std::max(source->stop_effect, answer.effect);
    source->stop_answered = true;
    bool const stopped = was_stopped(answer.outcome);
    if (stopped)
        co_await wait_for_end(source);
    source->stopping = false;
    if (phase_ != phase::running || caller_left_)
        co_return true;
    // The connection may have ended while the target was asked.
    auto const seen = source->ended && !stopped ? run_condition::lost : condition;
    if (auto const places = forwarding::places_to_go_on(answer.outcome, seen); !places.empty()) {
        next_copies_ = take_copies(*source, places, answer);
        stopped_run_ = source;
        auto const charge = condition == run_condition::stalled ? charge_state::charged : charge_state::open;
        if (start_from_next_copy(charge))
            co_return true;
    }
    source->may_work_on = answer.outcome == stop_outcome::not_stopped;
    if (!source->end_while_stopping)
        co_return false;
    recover_without_copy(*source, *std::exchange(source->end_while_stopping, std::nullopt));
    co_return true;
}

asio::awaitable<void> stream_exchange::hand_over_lost(self_pointer, stream_run_pointer source, send_result result) {
    auto const limit = base::clock::now() + longest_wait_for_end;
    bool done = co_await hand_over(source, run_condition::lost);
    // The target may take the call later, or the run may end by itself. A request that may run again is sent again.
    while (!done && source->may_work_on && !request_.may_run_again() && base::clock::now() < limit) {
        co_await pause(stop_retry_pause);
        done = co_await hand_over(source, run_condition::lost);
    }
    if (!done) {
        recover_without_copy(*source, std::move(result));
    } else if (auto const next = find_run(relay_.successor())) {
        log::write(log::event_kind::stream_recovered, {{"request", request_.caller.id},
                                                       {"target", next->target},
                                                       {"reason", "backup"},
                                                       {"last_event", relay_.position()}});
    }
    wake();
}

bool stream_exchange::charge_resumption(stream_run const& source) {
    auto const now = base::clock::now();
    auto& budget = parts_.board.retry_budget(request_.service);
    if (source.resumptions > 0)
        return budget.try_spend(parts_.board.fleet.count_entries(now), now);
    // Without the first one, the stream would be lost.
    budget.spend(now);
    return true;
}

stream_run_pointer stream_exchange::make_resuming_run(forwarding::run_number number, stream_run& source,
                                                      resumable_copy copy) {
    ++source.resumptions;
    parts_.board.fleet.begin_request(copy.target, std::nullopt, base::clock::now());
    auto started = make_run(number, copy.target);
    started->at_stopped_source = copy.at_stopped_source;
    if (copy.at_stopped_source)
        started->leaving_since = source.leaving_since;
    started->prepared_connection = std::move(copy.connection);
    started->context.resume_from = std::move(copy.memory);
    // Also before the first event: the copy may have made some that never arrived.
    started->context.resume_after = relay_.position();
    choose_backup(*started);
    return started;
}

void stream_exchange::on_fleet_change() {
    if (moving_ || phase_ != phase::running || caller_left_ || !relay_.can_go_on())
        return;
    auto const active = find_run(relay_.active());
    if (!active || !active->sent || !may_resume(*active))
        return;
    auto const* view = parts_.board.fleet.find(active->target);
    if (view == nullptr || !view->leaving(base::clock::now()))
        return;
    if (!active->leaving_since)
        active->leaving_since = base::clock::now();
    moving_ = true;
    asio::co_spawn(parts_.context, move_to_other_target(self_pointer{this}), asio::detached);
}

asio::awaitable<void> stream_exchange::move_to_other_target(self_pointer) {
    std::vector<std::string> refused;
    for (int attempt = 0; attempt < maximum_move_attempts; ++attempt) {
        auto const source = find_run(relay_.active());
        auto const* view = source ? parts_.board.fleet.find(source->target) : nullptr;
        bool const movable = phase_ == phase::running && !caller_left_ && engine_ != nullptr && engine_->moves;
        if (!movable || view == nullptr || !view->leaving(base::clock::now()) || !may_resume(*source))
            break;
        if (co_await try_move(source, refused))
            break;
        co_await pause(move_retry_pause);
    }
    moving_ = false;
}

forwarding::copy_span stream_exchange::widest_copy(stream_run const& source) const {
    auto const* view = parts_.board.fleet.find(source.target);
    if (view == nullptr || !view->report || !view->report->leaves_in)
        return forwarding::copy_span::same_region;
    // A copy to another region takes the engine's link for most of the time that is left, so it is made only if no
    // other stream has to leave too.
    if (parts_.board.fleet.under_overload_control(request_.service) && view->report->running > 1)
        return forwarding::copy_span::same_region;
    auto const left = *view->report->leaves_in -
                      std::chrono::duration_cast<base::milliseconds>(base::clock::now() - view->reported_at);
    auto const needed = base::milliseconds{tokens_held() / wide_area_tokens_per_millisecond};
    return needed < left ? forwarding::copy_span::other_region : forwarding::copy_span::same_region;
}

asio::awaitable<bool> stream_exchange::try_move(stream_run_pointer source, std::vector<std::string>& refused) {
    if (!parts_.board.fleet.may_copy_from(source->target, base::clock::now()))
        co_return false;
    forwarding::copy_request copy;
    copy.request = request_.placement();
    copy.request.software_version = &source->software_version;
    copy.request.excluded = refused;
    copy.source = source->target;
    copy.tokens = tokens_held() + copy_headroom_tokens;
    copy.room_share = copy_room_share;
    copy.widest = widest_copy(*source);
    // The stream is lost with its engine otherwise.
    copy.accept_unreported = true;
    auto const chosen = parts_.board.fleet.choose_copy_holder(copy, base::clock::now());
    if (chosen.kind != forwarding::placement_kind::placed) {
        refused.clear();
        co_return false;
    }
    auto const reservation = parts_.board.fleet.reserve_copy(chosen.target, copy.tokens, base::clock::now());
    auto const destination = parts_.board.fleet.find(chosen.target)->record.address;
    auto const engine = source->address;
    // GCC 12 destroys a braced argument of an awaited call twice, so these are named.
    copy_slot_client::slot_request slot{engine, request_.caller.id, tokens_held(), expected_remaining()};
    co_await parts_.copy_slots.acquire_slot(std::move(slot));
    if (source->ended || phase_ != phase::running || caller_left_) {
        parts_.copy_slots.release_slot(engine, request_.caller.id);
        co_return true;
    }
    wire::schema::PlaceRequestT message;
    message.request = request_.caller.id;
    message.memory_tokens = copy.tokens;
    message.slots = parts_.board.fleet.slots_of(chosen.target);
    auto const reply = co_await parts_.reservations.reserve(destination, std::move(message));
    if (reply != reservation_reply::unresponsive)
        parts_.board.fleet.release_reservation(chosen.target, reservation);
    bool taken_over = false;
    if (reply != reservation_reply::refused) {
        source->copy_target = chosen.target;
        source->copy_destination = destination;
        taken_over = co_await copy_and_hand_over(source);
    }
    parts_.copy_slots.release_slot(engine, request_.caller.id);
    if (!taken_over)
        refused.push_back(chosen.target);
    co_return taken_over;
}

asio::awaitable<bool> stream_exchange::copy_and_hand_over(stream_run_pointer source) {
    // In a hold-off, the target takes few calls. The call that stops the run copies its memory too.
    bool const copy_first = !parts_.board.fleet.held_off(source->target, base::clock::now());
    source->opening = true;
    asio::co_spawn(parts_.context, open_connections(self_pointer{this}, source), asio::detached);
    bool const copied = !copy_first || co_await copy_while_running(source);
    while (source->opening)
        co_await pause(opening_check_interval);
    // The run is not stopped unless both targets can be reached. The next one may have started to leave meanwhile.
    bool const usable =
        copied && source->next_connection && parts_.board.fleet.may_receive(source->copy_target, base::clock::now());
    bool const wanted = !source->ended && phase_ == phase::running && !caller_left_;
    bool handed_over = false;
    if (usable && wanted)
        handed_over = co_await hand_over(source, run_condition::leaving);
    release_connections(*source);
    co_return handed_over || !wanted;
}

asio::awaitable<void> stream_exchange::open_connections(self_pointer, stream_run_pointer source) {
    auto const& id = request_.caller.id;
    constexpr auto timeout = target_connections::connect_timeout;
    std::string const call{platform::unnamed_call};
    auto const stopping = co_await parts_.connections.acquire(source->address, call, timeout, maximum_idle());
    auto const next = co_await parts_.connections.acquire(source->copy_destination, id, timeout, maximum_idle());
    source->opening = false;
    if (stopping && next) {
        source->stop_connection = stopping.value();
        source->next_connection = next.value();
        co_return;
    }
    if (stopping)
        parts_.connections.release(source->address, stopping.value(), {});
    if (next)
        parts_.connections.release(source->copy_destination, next.value(), {});
}

void stream_exchange::release_connections(stream_run& source) {
    if (auto const unused = std::exchange(source.stop_connection, nullptr))
        parts_.connections.release(source.address, unused, {});
    if (auto const unused = std::exchange(source.next_connection, nullptr))
        parts_.connections.release(source.copy_destination, unused, {});
}

asio::awaitable<bool> stream_exchange::copy_while_running(stream_run_pointer source) {
    auto const started = base::clock::now();
    int copies = 0;
    base::milliseconds length{};
    do {
        auto const copy_started = base::clock::now();
        auto const made = co_await copy_once(source);
        length = std::chrono::duration_cast<base::milliseconds>(base::clock::now() - copy_started);
        if (made.outcome != platform::copy_outcome::copied) {
            log::write(log::event_kind::stream_copy_failed, {{"request", request_.caller.id},
                                                             {"from", source->target},
                                                             {"target", source->copy_target},
                                                             {"reason", platform::name_of(made.outcome)},
                                                             {"tokens", tokens_held()},
                                                             {"room", describe_room(source->copy_target)},
                                                             {"duration_ms", milliseconds_since(started)}});
            co_return false;
        }
        source->copy = platform::memory_copy{source->address, made.handle};
        source->copy_holder = source->copy_target;
    } while (++copies < maximum_copies && length > short_copy && !source->ended);
    log::write(log::event_kind::stream_copied, {{"request", request_.caller.id},
                                                {"from", source->target},
                                                {"target", source->copy_target},
                                                {"tokens", tokens_held()},
                                                {"copies", copies},
                                                {"duration_ms", milliseconds_since(started)}});
    co_return true;
}

asio::awaitable<platform::copy_result> stream_exchange::copy_once(stream_run_pointer source) {
    std::string const call{platform::unnamed_call};
    auto const connected = co_await parts_.connections.acquire(
        source->address, call, target_connections::connect_timeout, unlimited_idle_time);
    if (!connected || !parts_.board.fleet.take_copy_call(source->target, base::clock::now()))
        co_return platform::copy_result{};
    platform::copy_command command{request_.caller.id, source->copy_destination, false};
    auto on_notices = parts_.notices.make_handler({source->target, source->target_started_at}, request_.caller.id);
    auto const made =
        co_await platform::copy_memory(*connected.value(), std::move(command), copy_timeout, std::move(on_notices));
    parts_.connections.release(source->address, connected.value(), {});
    co_return made;
}

} // namespace cyclamenledge::forwarding_entry
