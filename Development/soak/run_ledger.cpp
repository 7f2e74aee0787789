#include "soak/run_ledger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamenledge::soak {

namespace {

// Promised for a target that leaves.
constexpr base::milliseconds drain_bound{2500};
// From the SIGTERM of an entry until its process may be killed.
constexpr base::milliseconds grace_time{8000};
// A call that was sent soon after the SIGTERM may be ended when its target works until the end of the grace time.
constexpr base::milliseconds early_call{3000};
constexpr base::milliseconds end_of_grace = grace_time * 5 / 6;
constexpr base::milliseconds after_grace{1000};
// Time in which an entry takes a configuration or changed settings over.
constexpr base::milliseconds configuration_time{2500};
constexpr std::uint32_t permitted_closed_unanswered = 3;
constexpr std::uint32_t permitted_beyond_attempts = 3;
constexpr base::milliseconds permitted_extra_time{500};
// A target may work on a call for this long after the call has gone on at another one.
constexpr base::milliseconds permitted_overlap{400};
constexpr std::uint32_t permitted_too_much_time = 20;
constexpr std::uint32_t permitted_too_much_time_of = 5;
// A request that has crashed this many targets reaches others only so many times more, when every entry had the contact
// time to learn of it.
constexpr std::size_t crashes_until_refused = 3;
constexpr std::uint32_t permitted_late_runs = 3;
// The same for requests that have a part of their prompts in common.
constexpr std::size_t crashes_until_part_refused = 5;
// Beside such requests, sound streams begin at least this much as often as at other times.
constexpr double least_sound_share = 0.5;
constexpr std::uint32_t judged_sound_streams = 20;
constexpr std::uint32_t judged_taken_up_streams = 12;
// Streams with events of two software versions, in one answer or over a caller's tries.
constexpr std::uint32_t permitted_mixed_streams = 2;
// A target that has named a limit gets at most this many requests in a window.
constexpr base::seconds limit_window{4};
// Time in which every entry learns of a limit.
constexpr base::seconds limit_learning{2};
constexpr double permitted_limit_share = 1.5;
constexpr double permitted_beyond_limit = 5;
// In each window, a service gets at most this share of its calls and this reserve as arrivals beyond the first of each
// request. The calls are those of that window, the one before it or the one half a window before it, whichever has
// most.
constexpr base::seconds retry_window{10};
constexpr double retry_share = 0.2;
constexpr double retry_reserve = 54;

} // namespace

void run_ledger::begin_call(std::string const& request, bool may_run_again, std::string const& service) {
    calls_[request].may_run_again = may_run_again;
    traffic_[service].calls.push_back(base::clock::now());
}

void run_ledger::mark_crashing(std::string const& request, crashing_content const& content, base::time_point at) {
    calls_[request].crashing_content = content.name;
    auto& history = crashing_[content.name];
    history.kind = content.kind;
    history.last_sent = std::max(history.last_sent, at);
    if (history.first_sent == base::time_point{})
        history.first_sent = at;
}

bool run_ledger::beside_crashing_part(base::time_point at) const {
    return std::ranges::any_of(crashing_, [&](auto const& item) {
        auto const& history = item.second;
        if (history.kind != content_kind::prompt_part || history.crashes.empty() || at > history.last_sent)
            return false;
        auto const last = std::min(history.crashes.size(), crashes_until_part_refused) - 1;
        return at > history.crashes[last] + 2 * contact_time;
    });
}

void run_ledger::record_versions(std::size_t count) {
    if (count > 1 && ++mixed_streams_ == permitted_mixed_streams + 1)
        violation("more than " + std::to_string(permitted_mixed_streams) +
                  " streams hold events of several software versions");
}

void run_ledger::check_taken_up_streams() {
    stream_share taken_up;
    stream_share begun;
    for (auto const& [request, call] : calls_) {
        bool const judged =
            call.sent && !call.sent->plain && call.ended && call.crashing_content.empty() && call.sent->in_touch;
        if (!judged)
            continue;
        auto& share = call.taken_up ? taken_up : begun;
        ++share.sent;
        share.began += call.answer_began ? 1 : 0;
    }
    if (taken_up.sent >= judged_taken_up_streams && taken_up.value() < least_sound_share * begun.value())
        violation("of " + std::to_string(taken_up.sent) + " streams that callers took up again " +
                  std::to_string(taken_up.began) + " went on, of " + std::to_string(begun.sent) + " new ones " +
                  std::to_string(begun.began) + " began");
}

void run_ledger::check_sound_streams() {
    stream_share beside;
    stream_share outside;
    for (auto const& [request, call] : calls_) {
        bool const judged = call.sent && !call.sent->plain && call.ended && call.end != call_end::left &&
                            call.crashing_content.empty() && call.sent->calm;
        if (!judged)
            continue;
        auto const at = call.sent->at;
        bool const crashing = std::ranges::any_of(crashing_, [&](auto const& item) {
            return !item.second.crashes.empty() && at >= item.second.first_sent && at <= item.second.last_sent;
        });
        if (crashing && !beside_crashing_part(at))
            continue;
        auto& share = crashing ? beside : outside;
        ++share.sent;
        share.began += call.answer_began ? 1 : 0;
    }
    if (beside.sent >= judged_sound_streams && outside.sent >= judged_sound_streams &&
        beside.value() < least_sound_share * outside.value())
        violation("beside calls that crash targets " + std::to_string(beside.began) + " of " +
                  std::to_string(beside.sent) + " sound streams began, at other times " +
                  std::to_string(outside.began) + " of " + std::to_string(outside.sent));
}

void run_ledger::end_call(std::string const& request, call_end end, base::time_point at) {
    auto& call = calls_[request];
    call.ended = true;
    call.end = end;
    if (end == call_end::broken && call.sent && call.arrivals > 0)
        check_loss(request, call, at);
    if (end == call_end::broken && call.sent && call.sent->plain)
        record_cut(request, call, at);
    if (end == call_end::refused && !call.may_run_again && call.runs > 0)
        violation("refused after it ran: " + request);
}

void run_ledger::record_cut(std::string const& request, call_record const& call, base::time_point at) {
    auto const length = [](base::duration time) { return std::chrono::duration_cast<base::milliseconds>(time); };
    auto const& sent = *call.sent;
    cut_call cut{request, call.arrivals > 0, sent.entry, sent.kept, length(at - sent.at), {}};
    if (auto const stop = stop_before(sent.entry, at))
        cut.sent_after_stop = length(sent.at - *stop);
    cut_calls_.push_back(std::move(cut));
}

bool run_ledger::in_touch(std::size_t entry, base::time_point at) const {
    auto const found = entries_.find(entry);
    bool const ran = found == entries_.end() || found->second.in_touch_after <= at;
    return ran && calm_since(at - contact_time, fault_reach::entries);
}

std::optional<base::time_point> run_ledger::stop_before(std::size_t entry, base::time_point at) const {
    auto const found = entries_.find(entry);
    if (found == entries_.end())
        return {};
    auto const& stops = found->second.stops;
    auto const later = std::ranges::upper_bound(stops, at);
    return later == stops.begin() ? std::nullopt : std::optional{*std::prev(later)};
}

bool run_ledger::around_planned_work(call_record const& call, base::time_point ended) const {
    auto const& sent = *call.sent;
    if (auto const stop = stop_before(sent.entry, ended); stop && ended <= *stop + grace_time + after_grace) {
        auto const works_until = call.run_complete ? call.completed_at : ended;
        bool const needed_the_grace_time = sent.at <= *stop + early_call && works_until >= *stop + end_of_grace;
        return !needed_the_grace_time;
    }
    auto const found = entries_.find(sent.entry);
    return found != entries_.end() && std::ranges::any_of(found->second.reloads, [&](auto reload) {
               return sent.at <= reload + configuration_time && reload <= ended;
           });
}

void run_ledger::check_loss(std::string const& request, call_record const& call, base::time_point ended) {
    auto const& sent = *call.sent;
    auto const time_limit = std::min(sent.bounds.deadline, sent.bounds.route_timeout);
    if (call.target_broke_off || ended - sent.at >= time_limit)
        return;
    if (calm_since(sent.at - contact_time) && around_planned_work(call, ended))
        violation("lost around planned work at entry " + std::to_string(sent.entry) + ": " + request);
    bool const unanswered = sent.kept && call.status == 0 && in_touch(sent.entry, call.first_arrival) &&
                            calm_since(sent.at - contact_time, fault_reach::entries);
    if (unanswered && ++closed_unanswered_ == permitted_closed_unanswered + 1)
        violation("passed on over kept connections and closed without an answer, more than " +
                  std::to_string(permitted_closed_unanswered) + " times: " + request);
}

void run_ledger::check_time_left(std::string const& request, call_record& call,
                                 std::optional<base::milliseconds> time_left, base::time_point now) {
    auto const deadline = now + time_left.value_or(base::milliseconds{0});
    if (call.first_arrival == base::time_point{}) {
        call.first_arrival = now;
        call.first_deadline = deadline;
    }
    if (!call.sent || !call.sent->plain || !in_touch(call.sent->entry, now))
        return;
    auto const latest =
        std::max(call.first_deadline, call.sent->at + call.sent->bounds.deadline) + permitted_extra_time;
    bool const repeated_late = now - call.first_arrival > permitted_extra_time;
    bool const too_much = !time_left || *time_left > call.sent->bounds.deadline + permitted_extra_time ||
                          (repeated_late && deadline > latest);
    judged_time_left_ += too_much || repeated_late ? 1 : 0;
    handed_too_much_time_ += too_much ? 1 : 0;
    if (too_much && handed_too_much_time_ > permitted_too_much_time &&
        handed_too_much_time_ * permitted_too_much_time_of > judged_time_left_)
        violation("targets were handed more time than is left, " + std::to_string(handed_too_much_time_) +
                  " times: " + request);
}

void run_ledger::check_attempts(std::string const& request, call_record& call, base::time_point now) {
    bool const beyond = call.sent && call.run_at.size() > call.sent->bounds.maximum_attempts;
    if (!beyond || call.beyond_attempts || !calm_since(now - contact_time, fault_reach::entries))
        return;
    call.beyond_attempts = true;
    if (++beyond_attempts_ == permitted_beyond_attempts + 1)
        violation("ran at more targets than the route allows, more than " + std::to_string(permitted_beyond_attempts) +
                  " calls: " + request);
}

std::map<unsigned, std::size_t> run_ledger::statuses() const {
    std::map<unsigned, std::size_t> counts;
    for (auto const& [request, call] : calls_)
        ++counts[call.status];
    return counts;
}

void run_ledger::name_limit(std::string const& target_id, std::optional<double> per_second, base::time_point from) {
    limited_.erase(target_id);
    if (per_second)
        limited_[target_id] = {*per_second, from, 0, {}};
}

std::size_t run_ledger::arrivals_at_limited(std::string const& target_id) const {
    auto const found = limited_.find(target_id);
    return found == limited_.end() ? 0 : found->second.arrivals;
}

std::size_t run_ledger::retries(std::string const& service) const {
    auto const found = traffic_.find(service);
    return found == traffic_.end() ? 0 : found->second.retries;
}

void run_ledger::on_arrival(std::string const& request, platform::standin::target_standin const& target,
                            std::optional<base::milliseconds> time_left) {
    auto const now = base::clock::now();
    check_limit(request, target.id(), now);
    check_notices(request, target.id(), now);
    auto const call = calls_.find(request);
    if (call == calls_.end())
        return;
    count_arrival(request, call->second, target, now);
    check_time_left(request, call->second, time_left, now);
}

void run_ledger::on_mismatch(std::string const& request, platform::standin::target_standin const& target) {
    if (auto const call = calls_.find(request); call != calls_.end())
        count_arrival(request, call->second, target, base::clock::now());
}

void run_ledger::count_arrival(std::string const& request, call_record& call,
                               platform::standin::target_standin const& target, base::time_point now) {
    call.last_target = target.id();
    if (++call.arrivals > 1)
        check_retry_bound(request, target.where().service, now);
}

void run_ledger::on_break_off(std::string const& request) {
    calls_[request].target_broke_off = true;
}

void run_ledger::on_end(platform::standin::target_standin const& target) {
    for (auto& [request, call] : calls_) {
        end_work(request, call, target.id());
        call.run_at.erase(target.id());
        if (!call.ended && call.last_target == target.id())
            call.target_broke_off = true;
    }
}

void run_ledger::on_other_memory(std::string const& request, std::string const& owner) {
    violation("was sent to go on from the memory of " + owner + ": " + request);
}

void run_ledger::on_leaving_said(std::string const& request, platform::standin::target_standin const& target) {
    notices_.on_leaving_said(request, target.id());
}

void run_ledger::on_turned_away(std::string const& request, platform::standin::target_standin const& target,
                                base::time_point until) {
    notices_.on_turned_away(request, target.id(), base::clock::now(), until);
}

void run_ledger::check_notices(std::string const& request, std::string const& target_id, base::time_point now) {
    // Faults of targets and agents excuse nothing.
    auto const& disturbed = disturbances_[fault_reach::entries];
    auto const calm_from = disturbed.open > 0 ? now : disturbed.until;
    if (auto broken = notices_.on_arrival(request, target_id, now, calm_from))
        violation(std::move(*broken));
}

void run_ledger::check_retry_bound(std::string const& request, std::string const& service, base::time_point now) {
    auto& traffic = traffic_[service];
    auto const drop_before = [](auto& times, base::time_point first) {
        while (!times.empty() && times.front() < first)
            times.pop_front();
    };
    ++traffic.retries;
    traffic.recent_retries.push_back(now);
    drop_before(traffic.recent_retries, now - retry_window);
    drop_before(traffic.calls, now - 2 * retry_window);
    auto const calls_until = [&](base::time_point end) {
        return std::ranges::count_if(traffic.calls, [&](auto at) { return at >= end - retry_window && at <= end; });
    };
    auto const calls =
        std::max({calls_until(now), calls_until(now - retry_window / 2), calls_until(now - retry_window)});
    auto const permitted = retry_share * static_cast<double>(calls) + retry_reserve;
    auto const retries = static_cast<double>(traffic.recent_retries.size());
    largest_retry_use_ = std::max(largest_retry_use_, retries / permitted);
    if (retries > permitted)
        violation("retries of service " + service + " beyond their bound: " + request + " is number " +
                  std::to_string(traffic.recent_retries.size()) + " in a window with " + std::to_string(calls) +
                  " calls");
}

void run_ledger::check_limit(std::string const& request, std::string const& target_id, base::time_point now) {
    auto const found = limited_.find(target_id);
    if (found == limited_.end())
        return;
    auto& limited = found->second;
    ++limited.arrivals;
    limited.recent.push_back(now);
    while (now - limited.recent.front() > limit_window)
        limited.recent.pop_front();
    auto const window_seconds = base::to_seconds(limit_window);
    auto const permitted = permitted_limit_share * limited.per_second * window_seconds + permitted_beyond_limit;
    bool const judged = now - limited.named_at > limit_learning + limit_window;
    if (judged && static_cast<double>(limited.recent.size()) > permitted)
        violation("a limit of " + std::to_string(limited.per_second) + " requests a second was exceeded: " + request +
                  " at " + target_id + " is number " + std::to_string(limited.recent.size()) + " in the window");
}

void run_ledger::on_run(std::string const& request, platform::standin::target_standin const& target, bool continued) {
    auto const now = base::clock::now();
    auto const found = calls_.find(request);
    if (found == calls_.end()) {
        violation("a request that no caller sent: " + request);
        return;
    }
    auto& call = found->second;
    // A target that only refuses the call does not take up what another one has broken off.
    call.target_broke_off = false;
    call.resumptions += continued ? 1 : 0;
    if (!continued && ++call.runs > 1 && !call.may_run_again)
        violation("ran twice: " + request + " at " + target.id());
    if (!continued && call.ended && call.end == call_end::refused && !call.may_run_again)
        violation("ran after it was refused: " + request + " at " + target.id());
    call.work.push_back({target.id(), now, continued, call.sent && in_touch(call.sent->entry, now), false});
    if (!continued && call.run_at.insert(target.id()).second)
        check_attempts(request, call, now);
    check_crashing_run(call, now);
    auto const closed = closed_.find(target.id());
    if (closed != closed_.end() && now > closed->second + drain_bound && calm_since(closed->second - contact_time))
        violation("reached a target that takes nothing: " + request + " at " + target.id());
}

void run_ledger::on_run_complete(std::string const& request) {
    auto& call = calls_[request];
    call.run_complete = true;
    call.completed_at = base::clock::now();
}

void run_ledger::on_work_end(std::string const& request, platform::standin::target_standin const& target) {
    if (auto const call = calls_.find(request); call != calls_.end())
        end_work(request, call->second, target.id());
}

void run_ledger::end_work(std::string const& request, call_record& call, std::string const& target_id) {
    auto const now = base::clock::now();
    for (auto earlier = call.work.begin(); earlier != call.work.end(); ++earlier) {
        if (earlier->ended || earlier->target != target_id)
            continue;
        earlier->ended = true;
        for (auto later = std::next(earlier); later != call.work.end(); ++later) {
            // A call that may run again may also begin anew elsewhere.
            bool const second_run = later->continued || !call.may_run_again;
            if (!second_run || later->target == target_id)
                continue;
            auto const overlap = std::chrono::duration_cast<base::milliseconds>(now - later->began);
            call.longest_overlap = std::max(call.longest_overlap, overlap);
            if (later->judged && overlap > permitted_overlap)
                violation("went on at " + later->target + " while " + target_id + " worked on it for " +
                          std::to_string(overlap.count()) + " ms more: " + request);
        }
    }
}

void run_ledger::on_request_crash(std::string const& request, platform::standin::target_standin const&) {
    if (auto const* call = find(request); call != nullptr && !call->crashing_content.empty())
        record_crash(call->crashing_content, base::clock::now());
}

void run_ledger::check_crashing_run(call_record const& call, base::time_point now) {
    auto const found = crashing_.find(call.crashing_content);
    if (found == crashing_.end())
        return;
    auto& content = found->second;
    auto const crashes = content.kind == content_kind::prompt_part ? crashes_until_part_refused : crashes_until_refused;
    if (content.crashes.size() < crashes)
        return;
    bool const late = now > content.crashes[crashes - 1] + contact_time;
    if (late && calm_since(now - contact_time) && ++content.late_runs == permitted_late_runs + 1)
        violation(call.crashing_content + " reached targets again after it had crashed " +
                  std::to_string(content.crashes.size()));
}

void run_ledger::violation(std::string text) {
    violations_.push_back(std::move(text));
}

std::uint32_t run_ledger::count(call_end end) const {
    return static_cast<std::uint32_t>(std::ranges::count_if(calls_, [&](auto const& entry) {
        auto const& call = entry.second;
        return call.ended && call.end == end && call.crashing_content.empty();
    }));
}

call_record const* run_ledger::find(std::string const& request) const {
    auto const found = calls_.find(request);
    return found == calls_.end() ? nullptr : &found->second;
}

} // namespace cyclamenledge::soak
