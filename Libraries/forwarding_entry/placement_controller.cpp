#include "forwarding_entry/placement_controller.h"

#include "log/logger.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

// Waiting requests that are tried when room appears. Behind them, room for one would be room for an earlier one.
constexpr std::size_t tried_per_change = 16;
// How soon a caller may come back when all targets are busy. A few runs end in this time at any engine.
constexpr base::milliseconds come_back_after{500};

std::uint64_t milliseconds_between(base::time_point from, base::time_point to) {
    return static_cast<std::uint64_t>(
        std::max<std::int64_t>(0, std::chrono::duration_cast<base::milliseconds>(to - from).count()));
}

} // namespace

base::error placement_controller::refusal(placement_need const& need, std::string_view reason) const {
    log::write(log::event_kind::request_refused,
               {{"request", need.request_id},
                {"reason", reason},
                {"service", need.request.service},
                {"waiting", board_.waiting.size()},
                {"waited_ms", milliseconds_between(need.arrived, base::clock::now())}});
    auto const kind = reason == "no_target" ? base::error_kind::no_target : base::error_kind::overloaded;
    return base::make_error(kind, "no target can take the request now: " + std::string{reason}, come_back_after);
}

std::optional<forwarding::placement> placement_controller::try_place(placement_need& need, base::time_point now) {
    auto chosen = board_.fleet.choose(need.request, now);
    if (chosen.kind == forwarding::placement_kind::wait)
        return std::nullopt;
    if (chosen.kind == forwarding::placement_kind::placed) {
        board_.fleet.begin_request(chosen.target, need.request.size, now);
        auto const* target = board_.fleet.find(chosen.target);
        log::write(log::event_kind::request_placed, {{"request", need.request_id},
                                                     {"target", chosen.target},
                                                     {"reason", chosen.reason},
                                                     {"used_tokens", target->report ? target->report->used_tokens : 0},
                                                     {"running", target->report ? target->report->running : 0},
                                                     {"report_age_ms", milliseconds_between(target->reported_at, now)},
                                                     {"own_open", target->open_requests},
                                                     {"waited_ms", milliseconds_between(need.arrived, now)}});
    }
    return chosen;
}

asio::awaitable<base::result<std::string>> placement_controller::place(placement_need need) {
    auto const now = base::clock::now();
    std::string const service{need.request.service};
    if (!board_.waiting.has_before(service, need.priority, now)) {
        if (auto const chosen = try_place(need, now)) {
            if (chosen->kind == forwarding::placement_kind::none)
                co_return refusal(need, chosen->reason);
            co_return chosen->target;
        }
    }
    auto const number = next_number_++;
    if (!board_.waiting.add({number, service, need.priority, need.arrived, need.on_time_until}))
        co_return refusal(need, "line_full");
    log::write(log::event_kind::request_waits,
               {{"request", need.request_id}, {"service", service}, {"waiting", board_.waiting.size()}});
    auto result = co_await wait(need, number);
    board_.waiting.remove(number);
    waiters_.erase(number);
    co_return result;
}

asio::awaitable<base::result<std::string>> placement_controller::wait(placement_need& need, std::uint64_t number) {
    waiter self{context_, need};
    waiters_[number] = &self;
    while (true) {
        auto const now = base::clock::now();
        if (now >= need.on_time_until && !need.request.accept_crowded) {
            need.request.accept_crowded = true;
            self.given = try_place(need, now);
        }
        if (self.given && self.given->kind == forwarding::placement_kind::placed)
            co_return self.given->target;
        if (self.given)
            co_return refusal(need, self.given->reason);
        if (need.cancelled())
            co_return base::make_error(base::error_kind::cancelled, "the caller left");
        if (now >= need.give_up_at)
            co_return refusal(need, "no_room");
        self.timer.expires_at(need.request.accept_crowded ? need.give_up_at
                                                          : std::min(need.on_time_until, need.give_up_at));
        co_await self.timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void placement_controller::release(std::string const& target) {
    board_.fleet.end_request(target);
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

void placement_controller::on_capacity_change() {
    if (waiters_.empty())
        return;
    auto const now = base::clock::now();
    std::set<std::string> services;
    for (auto const& [number, item] : waiters_)
        services.emplace(item->need->request.service);
    for (auto const& service : services) {
        std::size_t tried = 0;
        for (auto const number : board_.waiting.order(service, now)) {
            auto const found = waiters_.find(number);
            if (found == waiters_.end() || found->second->given || ++tried > tried_per_change)
                continue;
            if (!found->second->need->cancelled())
                found->second->given = try_place(*found->second->need, now);
            if (found->second->given || found->second->need->cancelled())
                found->second->timer.cancel();
        }
    }
}

} // namespace cyclamenledge::forwarding_entry
