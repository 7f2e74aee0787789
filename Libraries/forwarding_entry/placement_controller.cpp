#include "forwarding_entry/placement_controller.h"

#include "log/logger.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

// Queued requests of a service that are tried after each change of capacity. Room for a later one would be room
// for an earlier one.
constexpr std::size_t maximum_attempts_per_change = 16;
// Agents that are asked for one request before it is queued. Each refusal brings a newer report of that engine.
constexpr int maximum_reservation_attempts = 4;
// Delay before a request that may overcommit a target, but whose agent refused or did not answer, is tried again.
constexpr base::milliseconds reservation_retry_delay{100};
// How long a request waits at one agent before its entry looks for a better engine. Reports of the others are at most
// this much older than the choice.
constexpr base::milliseconds agent_wait{1000};
// The agent grants in order if there is room, and refuses otherwise.
constexpr base::milliseconds shortest_wait{1};
// An answer within this time was not waited for: the agent's queue is full, or it keeps none.
constexpr base::milliseconds immediate_answer{60};
// Requests of this entry that wait at agents. Beyond it, a caller is served faster by another entry.
constexpr std::size_t maximum_waiting_at_agents = 256;

base::milliseconds time_between(base::time_point start, base::time_point end) {
    return std::chrono::duration_cast<base::milliseconds>(std::max(base::duration{0}, end - start));
}

std::uint64_t milliseconds_between(base::time_point start, base::time_point end) {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<base::milliseconds>(end - start).count()));
}

} // namespace

base::error placement_controller::refuse(placement_need const& need, std::string_view reason,
                                         base::milliseconds retry_after) const {
    log::write(log::event_kind::request_refused,
               {{"request", need.request_id},
                {"reason", reason},
                {"service", need.request.service},
                {"waiting", board_.queue.size()},
                {"retry_ms", retry_after.count()},
                {"waited_ms", milliseconds_between(need.arrived, base::clock::now())}});
    auto const kind = reason == "no_target" ? base::error_kind::no_target : base::error_kind::overloaded;
    return base::make_error(kind, "no target can take the request now: " + std::string{reason}, retry_after);
}

base::error placement_controller::refuse(placement_need const& need, forwarding::placement const& chosen) {
    if (chosen.kind != forwarding::placement_kind::exhausted)
        return refuse(need, chosen.reason);
    return refuse(need, chosen.reason, next_return(need.request, chosen));
}

base::milliseconds placement_controller::next_return(forwarding::placement_request const& request,
                                                     forwarding::placement const& exhausted) {
    auto& schedule = return_schedules_[std::string{request.service}];
    return schedule.next(exhausted.available_at, exhausted.permits_per_second, base::clock::now(),
                         exhausted.held_until);
}

base::milliseconds placement_controller::return_time(forwarding::placement_request const& request) {
    auto const held = board_.fleet.find_hold_off(request, base::clock::now());
    return held ? next_return(request, *held) : default_retry_after;
}

forwarding::placement placement_controller::choose_and_request_permit(placement_need const& need,
                                                                      base::time_point now) {
    auto const within =
        std::chrono::duration_cast<base::milliseconds>(need.on_time_until - now) - forwarding::permit_stock::round_trip;
    auto const wanted = static_cast<std::uint32_t>(1 + need.request.waiting);
    while (true) {
        auto chosen = board_.fleet.choose(need.request, now);
        bool const asked = !chosen.permit_wanted.empty() && permits_.request(chosen.permit_wanted, wanted, within);
        // A target whose issuer cannot be asked is not wanted again at this time.
        if (asked || chosen.permit_wanted.empty() || chosen.kind == forwarding::placement_kind::placed)
            return chosen;
    }
}

std::optional<placement_controller::choice> placement_controller::choose(placement_need& need, base::time_point now) {
    need.request.accept_overcommit = now >= need.overcommit_at;
    need.request.wait_until = need.on_time_until;
    need.request.waiting = board_.queue.count(need.request.service);
    choice made{choose_and_request_permit(need, now), 0};
    if (made.placed.kind == forwarding::placement_kind::wait)
        return std::nullopt;
    if (made.placed.kind == forwarding::placement_kind::placed)
        made.reservation = board_.fleet.begin_request(made.placed.target, need.request.size, now);
    return made;
}

asio::awaitable<bool> placement_controller::reserve_at_agent(placement_need& need, choice chosen,
                                                             base::milliseconds wait) {
    auto const target = chosen.placed.target;
    auto const* view = board_.fleet.find(target);
    auto reply = reservation_reply::granted;
    if (need.request.size && view != nullptr && board_.fleet.reported(target, base::clock::now())) {
        wire::schema::PlaceRequestT message;
        message.request = need.request_id;
        message.unread_tokens = need.request.size->prompt;
        message.memory_tokens = need.request.size->expected_memory();
        message.slots = board_.fleet.slots_of(target);
        message.accept_crowded = need.request.accept_overcommit;
        message.priority = need.request.urgent.organisation;
        message.route_priority = need.request.urgent.route;
        message.wait_ms = static_cast<std::uint32_t>(wait.count());
        message.on_time_ms = static_cast<std::uint32_t>(milliseconds_between(base::clock::now(), need.on_time_until));
        message.waited_ms = static_cast<std::uint32_t>(milliseconds_between(need.arrived, base::clock::now()));
        reply = co_await reservations_.reserve(view->record.address, std::move(message));
        board_.fleet.release_reservation(target, chosen.reservation);
        view = board_.fleet.find(target);
    }
    auto const now = base::clock::now();
    bool const placed = reply == reservation_reply::granted && view != nullptr;
    log::write(placed ? log::event_kind::request_placed : log::event_kind::place_refused,
               {{"request", need.request_id},
                {"target", target},
                {"reason", placed ? chosen.placed.reason : name_of(reply)},
                {"used_tokens", view != nullptr && view->report ? view->report->used_tokens : 0},
                {"committed_tokens", view != nullptr && view->report ? view->report->committed_tokens : 0},
                {"unread_tokens", view != nullptr && view->report ? view->report->unread_tokens : 0},
                {"running", view != nullptr && view->report ? view->report->running : 0},
                {"report_age_ms", view != nullptr ? milliseconds_between(view->reported_at, now) : 0},
                {"priority", need.request.urgent.organisation},
                {"route_priority", need.request.urgent.route},
                {"wanted_tokens", need.request.size ? need.request.size->expected_memory() : 0},
                {"waiting", view != nullptr && view->report ? view->report->waiting : 0},
                {"own_open", view != nullptr ? view->open_requests : 0},
                {"limit", std::to_string(view != nullptr ? view->limit.per_second().value_or(0) : 0)},
                {"waited_ms", milliseconds_between(need.arrived, now)}});
    if (!placed) {
        board_.fleet.withdraw_request(target, now);
        if (reply == reservation_reply::unresponsive)
            board_.fleet.invalidate_report(target);
    }
    co_return placed;
}

asio::awaitable<std::optional<placement_controller::choice>> placement_controller::try_place(placement_need& need) {
    for (int attempt = 0; attempt < maximum_reservation_attempts; ++attempt) {
        auto chosen = choose(need, base::clock::now());
        if (!chosen || chosen->refused() || co_await reserve_at_agent(need, *chosen))
            co_return chosen;
    }
    co_return std::nullopt;
}

std::optional<placement_controller::choice> placement_controller::choose_or_queue(placement_need& need,
                                                                                  base::time_point now) {
    need.request.wait_until = need.on_time_until;
    need.request.waiting = at_agents_.size();
    choice made{choose_and_request_permit(need, now), 0};
    if (made.placed.kind == forwarding::placement_kind::wait) {
        auto queue = board_.fleet.choose_queue(need.request, now);
        if (!queue)
            return std::nullopt;
        made.placed = {forwarding::placement_kind::placed, std::move(queue->target), "first_room"};
        made.wait = queue->expected_wait;
    }
    if (made.placed.kind == forwarding::placement_kind::placed)
        made.reservation = board_.fleet.begin_request(made.placed.target, need.request.size, now);
    return made;
}

std::optional<base::error> placement_controller::refuse_without_outlook(placement_need const& need,
                                                                        base::milliseconds expected_wait,
                                                                        base::time_point now) {
    auto outlook = board_.fleet.find_room_outlook(need.request, now);
    outlook.first_room = expected_wait;
    auto const useful_for = forwarding::request_limits{need.on_time_until, need.give_up_at}.useful_wait(now);
    if (forwarding::decide_arrival(outlook, useful_for) == forwarding::arrival_verdict::accept)
        return std::nullopt;
    auto const entries = board_.fleet.count_entries(now).value_or(1);
    auto& schedule = return_schedules_[std::string{need.request.service}];
    auto const return_in = schedule.next(now + expected_wait, outlook.per_second / entries, now);
    metrics_.add(metrics::counter_kind::refused_without_room);
    log::write(log::event_kind::request_refused, {{"request", need.request_id},
                                                  {"reason", "no_room_in_time"},
                                                  {"service", need.request.service},
                                                  {"waiting", at_agents_.size()},
                                                  {"room_in_ms", expected_wait.count()},
                                                  {"useful_for_ms", useful_for.count()},
                                                  {"report_age_ms", outlook.oldest_report.count()},
                                                  {"retry_ms", return_in.count()},
                                                  {"waited_ms", milliseconds_between(need.arrived, now)}});
    return base::make_error(base::error_kind::overloaded, "no target is expected to have room in time", return_in);
}

asio::awaitable<base::result<std::string>> placement_controller::place_by_agents(placement_need need) {
    if (at_agents_.size() >= maximum_waiting_at_agents)
        co_return refuse(need, "line_full");
    auto const number = next_number_++;
    agent_request self{&need};
    at_agents_[number] = &self;
    auto result = co_await wait_at_agents(self);
    at_agents_.erase(number);
    if (self.other_engine)
        discard(*self.other_engine, base::clock::now());
    co_return result;
}

asio::awaitable<base::result<std::string>> placement_controller::wait_at_agents(agent_request& self) {
    asio::steady_timer timer{context_};
    auto& need = *self.need;
    while (true) {
        auto const now = base::clock::now();
        if (need.is_cancelled())
            co_return base::make_error(base::error_kind::cancelled, "the caller left");
        auto const give_up_at = std::min(need.give_up_at, queue_end_);
        if (now >= give_up_at)
            co_return refuse(need, "no_room");
        for (int attempt = 0; attempt < maximum_reservation_attempts; ++attempt) {
            auto chosen = std::exchange(self.other_engine, std::nullopt);
            if (!chosen)
                chosen = choose_or_queue(need, base::clock::now());
            if (!chosen)
                break;
            if (chosen->refused())
                co_return refuse(need, chosen->placed);
            // An engine that seems to have room answers at once, so that a stale report costs one round trip.
            auto wait = shortest_wait;
            if (chosen->wait) {
                if (auto refused = refuse_without_outlook(need, *chosen->wait, base::clock::now())) {
                    discard(*chosen, base::clock::now());
                    co_return std::move(*refused);
                }
                wait = std::min(agent_wait, time_between(now, give_up_at));
                self.waits_at = chosen->placed.target;
                metrics_.add(metrics::counter_kind::waits_at_agents);
            }
            bool const granted = co_await reserve_at_agent(need, *chosen, wait);
            self.waits_at.clear();
            if (granted)
                co_return chosen->placed.target;
            if (chosen->wait && !self.other_engine)
                break;
        }
        if (self.other_engine)
            continue;
        if (base::clock::now() - now > immediate_answer)
            continue;
        timer.expires_after(reservation_retry_delay);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void placement_controller::discard(choice const& unused, base::time_point now) {
    board_.fleet.withdraw_request(unused.placed.target, now);
    board_.fleet.release_reservation(unused.placed.target, unused.reservation);
}

asio::awaitable<base::result<std::string>> placement_controller::place(placement_need need) {
    auto const now = base::clock::now();
    if (need.request.size && board_.fleet.under_overload_control(need.request.service))
        co_return co_await place_by_agents(std::move(need));
    std::string const service{need.request.service};
    if (!board_.queue.has_ahead_of(service, need.priority, now)) {
        if (auto const chosen = co_await try_place(need)) {
            if (chosen->refused())
                co_return refuse(need, chosen->placed);
            co_return chosen->placed.target;
        }
    }
    auto const number = next_number_++;
    if (!board_.queue.add({number, service, need.priority, need.arrived, need.on_time_until}))
        co_return refuse(need, "line_full");
    log::write(log::event_kind::request_waits,
               {{"request", need.request_id}, {"service", service}, {"waiting", board_.queue.size()}});
    auto result = co_await wait_in_queue(need, number);
    board_.queue.remove(number);
    queued_.erase(number);
    co_return result;
}

asio::awaitable<std::optional<std::string>> placement_controller::place_now(placement_need need) {
    if (board_.queue.has_ahead_of(std::string{need.request.service}, need.priority, base::clock::now()))
        co_return std::nullopt;
    auto const chosen = co_await try_place(need);
    if (!chosen || chosen->refused())
        co_return std::nullopt;
    co_return chosen->placed.target;
}

asio::awaitable<base::result<std::string>> placement_controller::wait_in_queue(placement_need& need,
                                                                               std::uint64_t number) {
    need.give_up_at = std::min(need.give_up_at, queue_end_);
    queued_request self{context_, need};
    queued_[number] = &self;
    while (true) {
        auto const now = base::clock::now();
        if (!self.chosen_target && now >= need.overcommit_at)
            self.chosen_target = choose(need, now);
        if (self.chosen_target) {
            auto const chosen = *self.chosen_target;
            if (chosen.refused())
                co_return refuse(need, chosen.placed);
            if (co_await reserve_at_agent(need, chosen))
                co_return chosen.placed.target;
            self.chosen_target.reset();
        }
        if (need.is_cancelled())
            co_return base::make_error(base::error_kind::cancelled, "the caller left");
        if (base::clock::now() >= need.give_up_at)
            co_return refuse(need, "no_room");
        auto const retry_at =
            base::clock::now() < need.overcommit_at ? need.overcommit_at : base::clock::now() + reservation_retry_delay;
        self.timer.expires_at(std::min(retry_at, need.give_up_at));
        co_await self.timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void placement_controller::release(std::string const& target, std::string const& request, run_end const& end) {
    board_.fleet.end_request(target);
    end_reservation(target, request, end);
}

void placement_controller::withdraw(std::string const& target, std::string const& request) {
    board_.fleet.withdraw_request(target, base::clock::now());
    end_reservation(target, request, {});
}

void placement_controller::end_reservation(std::string const& target, std::string const& request, run_end const& end) {
    auto const* view = board_.fleet.find(target);
    if (view != nullptr && view->report)
        reservations_.release(view->record.address, request, end);
    on_capacity_change();
}

void placement_controller::record_outcome(std::string const& target, forwarding::target_outcome outcome) {
    auto const now = base::clock::now();
    auto const* view = board_.fleet.find(target);
    bool const was_ejected = view != nullptr && view->health.ejected(now);
    board_.fleet.record_outcome(target, outcome, now);
    if (view != nullptr && view->health.ejected(now) && !was_ejected)
        log::write(log::event_kind::target_health_changed,
                   {{"target", target}, {"open_requests", view->open_requests}});
}

void placement_controller::set_queue_end(base::time_point end) {
    queue_end_ = end;
    for (auto const& [number, queued] : queued_) {
        queued->need->give_up_at = std::min(queued->need->give_up_at, end);
        queued->timer.cancel();
    }
}

void placement_controller::leave_agents_for_room(base::time_point now) {
    std::vector<agent_request*> waiting;
    for (auto const& [number, item] : at_agents_) {
        if (!item->waits_at.empty() && !item->other_engine)
            waiting.push_back(item);
    }
    std::ranges::stable_sort(waiting, {}, [](agent_request const* item) { return item->need->request.urgent.rank(); });
    std::size_t tried = 0;
    for (auto* item : waiting) {
        if (++tried > maximum_attempts_per_change)
            return;
        auto const& request = item->need->request;
        choice found{board_.fleet.choose(request, now)};
        if (found.refused() || found.placed.target == item->waits_at)
            continue;
        found.reservation = board_.fleet.begin_request(found.placed.target, request.size, now);
        item->other_engine = std::move(found);
        reservations_.stop_waiting(item->need->request_id);
    }
}

void placement_controller::on_capacity_change() {
    auto const now = base::clock::now();
    if (!at_agents_.empty())
        leave_agents_for_room(now);
    if (!queued_.empty())
        retry_queued(now);
}

void placement_controller::retry_queued(base::time_point now) {
    std::set<std::string> services;
    for (auto const& [number, queued] : queued_)
        services.emplace(queued->need->request.service);
    for (auto const& service : services) {
        std::size_t tried = 0;
        for (auto const number : board_.queue.order(service, now)) {
            auto const found = queued_.find(number);
            if (found == queued_.end() || found->second->chosen_target || ++tried > maximum_attempts_per_change)
                continue;
            if (!found->second->need->is_cancelled())
                found->second->chosen_target = choose(*found->second->need, now);
            if (found->second->chosen_target || found->second->need->is_cancelled())
                found->second->timer.cancel();
        }
    }
}

} // namespace cyclamenledge::forwarding_entry
