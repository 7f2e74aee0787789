#include "forwarding/fleet_view.h"

#include "forwarding/pause_risk.h"

#include <algorithm>
#include <array>
#include <utility>

namespace cyclamenledge::forwarding {

namespace {

// Difference in load at which a target in another failure domain, or another region, is preferred to a nearby one.
// Running in another region costs two more round trips over a wide-area link and the link's price per byte.
constexpr double other_domain_score = 0.05;
constexpr double other_region_score = 0.25;
// Score per copy_span. The steps exceed any load, so that a copy stays near while an engine there has room: a copy to
// another failure domain takes twice as long, one to another region about ten times as long.
constexpr std::array<double, 3> copy_span_scores{0, 10, 100};
// Exceeds any distance. A stream goes on at an engine without a permit only when no other engine has room, because its
// loss would be worse than one request beyond the engine's rate.
constexpr double permitless_copy_score = 1000;
// Exceeds any distance too: room that is known goes first, because a refused copy costs time of a leaving engine.
constexpr double unreported_copy_score = 500;
// Random addition to the score, so that entries with equal views spread over targets of nearly equal load.
constexpr double score_jitter = 0.06;
// Engines that are compared for a request that has to wait, drawn at random. Reports do not show what other entries
// have sent since, so that with the best of all engines most requests waited at a few of them (up to 64 at one).
constexpr int queue_choices = 3;
// Time in which the memory of a busy engine is given to other requests: a long stream runs for about this long.
constexpr base::seconds memory_turnover{8};
// Load for each second until the engine has read the prompt of a new request. The first event is delayed by that time,
// so an engine in another region is preferred to one with a quarter of a second more of it.
constexpr double load_per_prefill_second = 1.0;
// Additional load of a cold target: an engine is slow for some time after its start.
constexpr double cold_load = 0.5;
// Additional load of an engine without a current report: it may be busy with requests of other entries.
constexpr double unreported_load = 1.0;
// A load that a plain target states counts fully for this time, and then less and less for as long again. Half of a
// slow phase of 600 ms: afterwards the statement says little about the target.
constexpr base::milliseconds stated_load_lifetime{300};
// A stated pace below this counts as this: nobody measures plain targets, so a low statement must not attract calls.
constexpr double lowest_plain_pace = 1;
// Weight of a statement in the average of its service, which thus covers about the last 20 statements.
constexpr double stated_load_weight = 0.05;
// Bounds of the factor by which a pace changes a load. With a larger one, a slow engine nearby would be passed over for
// a copy to another failure domain, which takes twice as long.
constexpr double largest_pace_factor = 2.5;
constexpr double smallest_pace_factor = 1 / largest_pace_factor;
// Share of an engine's slots that all entries together may use while there is no report.
constexpr double unreported_slot_share = 0.5;
// Share of a cold target's request rate that entries use. A second can hold the permits of another half.
constexpr double cold_share = 0.8;

constexpr std::string_view hold_off_reason = "target_hold_off";

// Part of a bounded rate that all entries together use while the agent that issues its permits does not answer them.
// With the permits that it still issues to others, it stays within one and a half times the rate.
constexpr double unissued_rate_share = 0.5;

bool contains(std::vector<std::string> const* regions, std::string const& region) {
    return regions == nullptr || regions->empty() || std::ranges::find(*regions, region) != regions->end();
}

double share_of(stated_load const& load) {
    return static_cast<double>(load.running + load.waiting) / std::max(1U, load.slots);
}

double limit_factor(double pace) {
    return std::clamp(pace, smallest_pace_factor, largest_pace_factor);
}

} // namespace

bool target_view::removal_unconfirmed(base::time_point now) const {
    return removed && store_unreachable_at_removal && now - removed_at < fleet_view::unconfirmed_removal_lifetime;
}

bool target_view::leaving(base::time_point now) const {
    // A target whose removal is not confirmed is used as long as it answers.
    return (removed && !removal_unconfirmed(now)) || said_leaving() || (report && report->leaving);
}

fleet_view::fleet_view(std::string failure_domain, std::map<std::string, std::string> regions, std::uint64_t seed)
    : failure_domain_(std::move(failure_domain))
    , regions_(std::move(regions))
    , random_(seed) {}

void fleet_view::apply_routes(route_set_pointer routes) {
    routes_ = std::move(routes);
    if (routes_)
        overload_.apply_routes(*routes_);
}

std::string const& fleet_view::region_of(std::string const& failure_domain) const {
    static std::string const unknown;
    auto const found = regions_.find(failure_domain);
    return found == regions_.end() ? unknown : found->second;
}

void fleet_view::update_target(target_record const& record, base::time_point now) {
    auto const [found, inserted] = targets_.try_emplace(record.id);
    auto& target = found->second;
    services_listed_since_.try_emplace(record.service, now);
    if (!inserted)
        versions_listed_at_[target.record.service][target.record.software_version] = now;
    versions_listed_at_[record.service][record.software_version] = now;
    if (!inserted && target.record.started_at != record.started_at) {
        // A new incarnation with the same id starts without the load, failures and memory of the previous one.
        auto const open = target.open_requests;
        target = {};
        target.open_requests = open;
    }
    target.record = record;
    target.region = region_of(record.failure_domain);
    if (target.seen_at == base::time_point{})
        target.seen_at = now;
    target.removed = false;
    if (record.cold_left.count() > 0)
        target.cold_until = now + record.cold_left;
}

void fleet_view::remove_target(std::string const& id, bool store_unreachable, base::time_point now) {
    auto const found = targets_.find(id);
    if (found == targets_.end() || found->second.removed)
        return;
    versions_listed_at_[found->second.record.service][found->second.record.software_version] = now;
    found->second.removed = true;
    found->second.store_unreachable_at_removal = store_unreachable;
    found->second.removed_at = now;
}

void fleet_view::set_evacuated(std::string const& failure_domain, bool evacuated) {
    if (evacuated)
        evacuated_.insert(failure_domain);
    else
        evacuated_.erase(failure_domain);
}

void fleet_view::update_report(std::string const& address, engine_report const& report, base::time_point now) {
    observe_entries(report.entries, now);
    for (auto& [id, target] : targets_) {
        if (target.record.address != address)
            continue;
        target.replaced = target.record.started_at > 0 && report.started_at > target.record.started_at;
        if (target.record.started_at != report.started_at)
            continue;
        target.report = report;
        target.reported_at = now;
        while (!target.reservations.empty() && now - target.reservations.front().at > report_lag)
            target.reservations.pop_front();
    }
}

void fleet_view::update_load(std::string const& id, stated_load const& stated, base::time_point now) {
    auto const found = targets_.find(id);
    if (found == targets_.end())
        return;
    auto const average = stated_loads_.try_emplace(found->second.record.service, share_of(stated)).first;
    average->second += stated_load_weight * (share_of(stated) - average->second);
    found->second.load = stated;
    found->second.load_stated_at = now;
    if (stated.pace)
        found->second.pace.observe(*stated.pace, now);
}

std::optional<pace_estimate> fleet_view::pace_of(target_view const& target, base::time_point now) const {
    if (!follows_pace() || !under_overload_control(target.record.service))
        return std::nullopt;
    // The agent sees the statements to all entries and measures the engine as well.
    bool const known_to_agent = reported(target, now);
    auto const reported_usual = known_to_agent ? limit_pace(target.report->pace) : std::nullopt;
    auto const usual = reported_usual ? reported_usual : target.pace.usual();
    if (!usual)
        return std::nullopt;
    auto const report_age = now - target.reported_at;
    auto const reported_now = known_to_agent && report_age <= target_pace::present_lifetime
                                  ? limit_pace(target.report->pace_now)
                                  : std::nullopt;
    auto stated_now = target.pace.present(now);
    if (stated_now && reported_usual && contradicts_pace(*stated_now, *reported_usual))
        stated_now.reset();
    bool const stated_is_newer = stated_now && (!reported_now || *target.pace.age(now) <= report_age);
    auto const present = stated_is_newer ? stated_now : reported_now;
    return pace_estimate{*usual, present.value_or(*usual)};
}

bool fleet_view::reported_leaving(std::string const& address) const {
    return std::ranges::any_of(targets_, [&](auto const& entry) {
        auto const& target = entry.second;
        return target.record.address == address && target.report && target.report->leaving;
    });
}

bool fleet_view::mark_leaving(target_incarnation const& target, base::time_point now) {
    auto const found = targets_.find(target.id);
    if (found == targets_.end() || found->second.record.started_at != target.started_at)
        return false;
    bool const known = found->second.leaving(now);
    found->second.shown_leaving = true;
    return !known;
}

bool fleet_view::hold_off(target_incarnation const& target, base::milliseconds length, base::time_point now) {
    auto const found = targets_.find(target.id);
    return found != targets_.end() && found->second.record.started_at == target.started_at &&
           found->second.hold_off.on_answer(length, now);
}

bool fleet_view::held_off(std::string const& id, base::time_point now) const {
    auto const* target = find(id);
    return target != nullptr && target->hold_off.active(now);
}

bool fleet_view::may_copy_from(std::string const& id, base::time_point now) const {
    auto const* target = find(id);
    return target == nullptr || target->hold_off.may_copy(now);
}

bool fleet_view::take_copy_call(std::string const& id, base::time_point now) {
    auto const found = targets_.find(id);
    return found == targets_.end() || found->second.hold_off.take_copy_call(now);
}

void fleet_view::add_held(held_targets& found, target_view const& target, base::time_point now) const {
    ++found.count;
    found.first_end = std::min(found.first_end, target.hold_off.end());
    auto const* engine = capacity(target);
    auto const slots = engine != nullptr ? engine->slots : target.record.slots;
    // Each entry expects to use its part of the slots once a second.
    auto const entries = count_entries(now);
    found.per_second += entries ? static_cast<double>(std::max(1U, slots)) / *entries : 1;
}

std::optional<placement> fleet_view::find_hold_off(placement_request request, base::time_point now) const {
    request.excluded = {};
    held_targets held;
    for (auto const& [id, target] : targets_) {
        if (!eligible(target, request, now))
            continue;
        if (!target.hold_off.active(now))
            return std::nullopt;
        add_held(held, target, now);
    }
    if (!held.any())
        return std::nullopt;
    return placement{
        placement_kind::exhausted, {}, hold_off_reason, {}, held.first_end, held.per_second, held.first_end};
}

engine_capacity const* fleet_view::capacity(target_view const& target) const {
    auto const* service = routes_ ? routes_->find_service(target.record.service) : nullptr;
    return service != nullptr && service->engine ? &*service->engine : nullptr;
}

bool fleet_view::eligible(target_view const& target, placement_request const& request, base::time_point now) const {
    if (target.record.service != request.service || evacuated_.contains(target.record.failure_domain))
        return false;
    if (target.leaving(now) || target.replaced)
        return false;
    if (request.software_version != nullptr && target.record.software_version != *request.software_version)
        return false;
    if (!contains(request.route_homes, target.region) || !contains(request.organisation_homes, target.region))
        return false;
    return std::ranges::find(request.excluded, target.record.id) == request.excluded.end();
}

std::optional<std::string> fleet_view::find_sole_version(std::string const& service, base::milliseconds time,
                                                         base::time_point now) const {
    auto const listed_since = services_listed_since_.find(service);
    if (listed_since == services_listed_since_.end() || now - listed_since->second < time)
        return std::nullopt;
    std::set<std::string> versions;
    for (auto const& [id, target] : targets_) {
        if (!target.removed && target.record.service == service)
            versions.insert(target.record.software_version);
    }
    for (auto const& [version, listed_at] : versions_listed_at_.at(service)) {
        if (now - listed_at < time)
            versions.insert(version);
    }
    if (versions.size() != 1)
        return std::nullopt;
    return *versions.begin();
}

bool fleet_view::reported(target_view const& target, base::time_point now) {
    return target.report && now - target.reported_at < report_lifetime;
}

bool fleet_view::reported(std::string const& id, base::time_point now) const {
    auto const* target = find(id);
    return target != nullptr && reported(*target, now);
}

engine_room fleet_view::room(target_view const& target, base::time_point now) {
    engine_reservations reservations;
    for (auto const& reservation : target.reservations) {
        if (target.reported_at - reservation.at >= report_lag)
            continue;
        reservations.memory_tokens += reservation.memory_tokens;
        reservations.unread_tokens += reservation.unread_tokens;
        ++reservations.requests;
    }
    return {*target.report, reservations, now - target.reported_at};
}

bool fleet_view::has_room(target_view const& target, placement_request const& request, base::time_point now) const {
    auto const* engine = capacity(target);
    if (engine == nullptr)
        return true;
    if (!reported(target, now))
        return has_unreported_room(target, *engine, now);
    bool const controlled = under_overload_control(request.service);
    // Those that wait already get the next room.
    if (controlled && request.urgent.deferrable() && target.report->waiting > 0)
        return false;
    auto const& limits = controlled ? limits_of(request.urgent) : immediate_prompt_limits;
    return room(target, now).fits_prompt(request.size->expected_memory(), engine->slots, limits);
}

bool fleet_view::has_unreported_room(target_view const& target, engine_capacity const& engine,
                                     base::time_point now) const {
    // Until its agent has reported the requests sent to it, a new engine looks idle to all entries at once.
    if (!target.report && now - target.seen_at < first_report_timeout)
        return false;
    auto const entries = count_entries(now);
    return target.open_requests < std::max(1.0, entries ? unreported_slot_share * engine.slots / *entries : 0);
}

bool fleet_view::ejected(target_view const& target, base::time_point now) const {
    bool const failing = target.report && target.report->failing && reported(target, now) &&
                         under_overload_control(target.record.service);
    return failing || target.health.ejected(now);
}

base::milliseconds fleet_view::expected_wait(target_view const& target, placement_request const& request,
                                             base::time_point now) {
    auto const& report = *target.report;
    auto const age = std::chrono::duration_cast<base::milliseconds>(now - target.reported_at);
    // Reports state when a request of the classes that can wait gets room. The most urgent ones get it sooner.
    if (report.room_in && request.urgent.deferrable())
        return std::max(base::milliseconds{0}, *report.room_in - age);
    auto const ahead = request.urgent.deferrable() ? report.waiting_tokens : 0;
    auto const wanted = static_cast<double>(report.committed_tokens) + ahead + request.size->expected_memory();
    auto const missing = std::max(0.0, wanted - limits_of(request.urgent).memory_share * report.total_tokens);
    auto const memory_wait =
        base::from_seconds(missing / (report.total_tokens / base::to_seconds(memory_turnover) + 1));
    return std::chrono::duration_cast<base::milliseconds>(memory_wait) + room(target, now).read_wait();
}

room_outlook fleet_view::find_room_outlook(placement_request const& request, base::time_point now) const {
    room_outlook outlook;
    for (auto const& [id, target] : targets_) {
        if (!request.size || !eligible(target, request, now))
            continue;
        ++outlook.engines;
        bool const known = request.urgent.deferrable() && reported(target, now) && target.report->room_in;
        if (!known || target.hold_off.active(now))
            continue;
        auto const per_second =
            target.report->total_tokens / base::to_seconds(memory_turnover) / (request.size->expected_memory() + 1);
        outlook.add(expected_wait(target, request, now), per_second,
                    std::chrono::duration_cast<base::milliseconds>(now - target.reported_at));
    }
    return outlook;
}

std::optional<queue_choice> fleet_view::choose_queue(placement_request const& request, base::time_point now) {
    std::vector<candidate> waitable;
    for (auto& [id, target] : targets_) {
        if (!request.size || !eligible(target, request, now) || target.hold_off.active(now) || ejected(target, now) ||
            !reported(target, now) || !permits_request(target, now))
            continue;
        waitable.push_back({&target, base::to_seconds(expected_wait(target, request, now)) + distance(target), 0});
    }
    if (waitable.empty())
        return std::nullopt;
    auto const* best = &waitable[random_.below(waitable.size())];
    for (int other = 1; other < queue_choices; ++other) {
        auto const& item = waitable[random_.below(waitable.size())];
        if (item.score < best->score)
            best = &item;
    }
    return queue_choice{best->target->record.id, expected_wait(*best->target, request, now)};
}

bool fleet_view::has_room_for_copy(target_view const& target, copy_request const& copy, base::time_point now) const {
    auto const* engine = capacity(target);
    if (engine == nullptr)
        return false;
    if (!reported(target, now))
        return copy.accept_unreported && has_unreported_room(target, *engine, now);
    return room(target, now).fits_copy(copy.tokens, copy.room_share, engine->slots);
}

double fleet_view::distance(target_view const& target) const {
    if (target.record.failure_domain == failure_domain_)
        return 0;
    return target.region == region_of(failure_domain_) ? other_domain_score : other_region_score;
}

double fleet_view::load(target_view const& target, std::optional<generation_size> const& size,
                        base::time_point now) const {
    auto const* engine = capacity(target);
    if (engine == nullptr || !size)
        return plain_load(target, now);
    if (!reported(target, now))
        return unreported_load + static_cast<double>(target.open_requests) / std::max(1U, engine->slots);
    auto const seen = room(target, now);
    auto const read_time = base::to_seconds(seen.read_wait()) + size->prompt / target.report->reading_pace / 1000.0;
    auto const pace = pace_of(target, now).value_or(pace_estimate{});
    // The agent measures the reading pace, so it contains the usual pace already.
    return limit_factor(pace.usual) * seen.committed_share() +
           limit_factor(pace.present / pace.usual) * load_per_prefill_second * read_time +
           (now < target.cold_until ? cold_load : 0);
}

double fleet_view::plain_load(target_view const& target, base::time_point now) const {
    double const open = target.open_requests;
    auto const slots = std::max(1U, target.record.slots);
    auto const pace = pace_of(target, now);
    if (!pace)
        return open / slots;
    // A statement that has expired says as much as the average of the service. Falling back to the own open requests
    // alone would make every target look idle of which this process has not heard lately.
    auto const average = stated_loads_.find(target.record.service);
    auto stated = average == stated_loads_.end() ? 0 : average->second;
    if (target.load) {
        auto const age = std::chrono::duration<double>(now - target.load_stated_at) / stated_load_lifetime;
        stated += std::clamp(2 - age, 0.0, 1.0) * (share_of(*target.load) - stated);
    }
    // Own open requests count beside the statement, because in a slow phase they are open for longer. The request
    // itself counts, so that the pace matters among idle targets as well.
    auto const requests = stated + (open + 1) / slots;
    return requests * std::max(lowest_plain_pace, pace->present);
}

double fleet_view::pause_score(target_view const& target, placement_request const& request,
                               base::time_point now) const {
    auto const* engine = capacity(target);
    auto const pace = pace_of(target, now);
    if (engine == nullptr || !pace || !request.size)
        return 0;
    auto const reserved = static_cast<std::uint32_t>(target.reservations.size());
    auto const running = reported(target, now) ? target.report->running + reserved : target.open_requests;
    return pause_penalty({request.size->expected_output(), engine->tokens_per_event, running, request.pause_objective},
                         *pace);
}

std::optional<double> fleet_view::cold_rate(target_view const& target, base::time_point now) const {
    auto const* service = now < target.cold_until && routes_ ? routes_->find_service(target.record.service) : nullptr;
    if (service == nullptr || service->cold_rate <= 0)
        return std::nullopt;
    return cold_share * service->cold_rate;
}

std::optional<double> fleet_view::permitted_rate(target_view const& target, base::time_point now) const {
    auto const cold = cold_rate(target, now);
    auto const& limit = target.limit.per_second();
    if (!limit)
        return cold;
    auto const rate = std::max(*limit * issued_limit_share, permit_issuer::lowest_rate);
    return std::min(rate, cold.value_or(rate));
}

void fleet_view::update_permits(target_view& target, base::time_point now) {
    auto const rate = permitted_rate(target, now);
    if (!rate)
        return;
    auto const entries = count_entries(now);
    auto const equal_part = entries ? *rate / *entries : 0;
    // A target is cold for about a second, too short to request permits. Equal parts waste little in that time.
    if (!target.limit.per_second())
        target.permits.update(equal_part, own_permits::always, now, random_);
    else
        target.permits.update(unissued_rate_share * equal_part, own_permits::while_issuer_is_unresponsive, now,
                              random_);
}

void fleet_view::update_permits(base::time_point now) {
    for (auto& [id, target] : targets_)
        update_permits(target, now);
}

bool fleet_view::permits_request(target_view& target, base::time_point now) {
    if (!permitted_rate(target, now))
        return true;
    update_permits(target, now);
    return target.permits.usable(now);
}

void fleet_view::add_permitless(permitless_targets& found, candidate const& item, base::time_point now) const {
    auto const& permits = item.target->permits;
    found.any = true;
    found.permit_expected = found.permit_expected || permits.expects_permit(now);
    found.available_at = std::min(found.available_at, permits.available_at(now));
    if (auto const entries = count_entries(now))
        found.permits_per_second += permitted_rate(*item.target, now).value_or(0) / *entries;
    if (permits.may_ask(now) && (found.best.target == nullptr || item.score < found.best.score))
        found.best = item;
}

placement fleet_view::conclude_without_room(placement_request const& request, permitless_targets const& permitless,
                                            held_targets const& held, bool room_may_come, base::time_point now) {
    placement made{placement_kind::wait, {}, "no_room", {}, permitless.available_at, permitless.permits_per_second, {}};
    if (held.any()) {
        made.available_at = std::min(made.available_at, held.first_end);
        made.permits_per_second += held.per_second;
    }
    if (!permitless.any) {
        if (!held.any() || room_may_come)
            return made;
        made.reason = hold_off_reason;
        made.held_until = held.first_end;
        if (held.first_end > request.wait_until)
            made.kind = placement_kind::exhausted;
        return made;
    }
    made.reason = "target_limit";
    if (permitless.best.target != nullptr)
        made.permit_wanted = permitless.best.target->record.id;
    // The requests that wait already get the next permits.
    auto const left = base::to_seconds(request.wait_until - now);
    bool const in_time = permitless.available_at <= request.wait_until &&
                         static_cast<double>(1 + request.waiting) <= left * permitless.permits_per_second;
    bool const hold_off_ends_in_time = held.any() && held.first_end <= request.wait_until;
    bool const may_wait = permitless.best.target != nullptr || permitless.permit_expected || room_may_come || in_time ||
                          hold_off_ends_in_time;
    if (!may_wait)
        made.kind = placement_kind::exhausted;
    return made;
}

spread_candidate fleet_view::spread_view(candidate const& item, std::optional<generation_size> const& size,
                                         base::time_point now) const {
    auto const& target = *item.target;
    auto const* engine = capacity(target);
    bool const far = target.region != region_of(failure_domain_);
    if (engine == nullptr || !size)
        return {item.score, 1.0 / std::max(1U, target.record.slots), {}, far};
    // Without a current report, nothing is known of the requests of other entries for longer than it would be valid.
    if (!reported(target, now))
        return {item.score, 1.0 / std::max(1U, engine->slots), report_lifetime, far};
    auto const& report = *target.report;
    auto const memory = static_cast<double>(size->expected_memory()) / std::max(1U, report.total_tokens);
    auto const read_time = size->prompt / report.reading_pace / 1000.0;
    return {item.score, memory + load_per_prefill_second * read_time, now - target.reported_at, far};
}

bool fleet_view::spreads_choices(std::vector<candidate> const& list, placement_request const& request) const {
    // An agent that keeps requests waiting evens out what several entries choose at the same time. Drawing among such
    // engines left targets idle for longer and evened the load by 5% only. Plain targets state their queues in answers.
    return request.size && under_overload_control(request.service) &&
           std::ranges::none_of(
               list, [](candidate const& item) { return item.target->report && item.target->report->room_in; });
}

fleet_view::candidate const& fleet_view::pick(std::vector<candidate> const& list, placement_request const& request,
                                              base::time_point now) {
    if (!spreads_choices(list, request))
        return *std::ranges::min_element(list, {}, [](candidate const& item) { return item.score + item.jitter; });
    std::vector<spread_candidate> candidates;
    candidates.reserve(list.size());
    for (auto const& item : list)
        candidates.push_back(spread_view(item, request.size, now));
    auto& spread = spreads_.try_emplace(std::string{request.service}).first->second;
    auto const picked = spread.pick(candidates, count_entries(now), now, random_);
    spread.on_placed(now);
    return list[picked];
}

placement fleet_view::choose(placement_request const& request, base::time_point now) {
    std::vector<candidate> healthy;
    std::vector<candidate> ejected_targets;
    std::vector<candidate> overcommitted;
    permitless_targets permitless;
    held_targets held;
    bool any_eligible = false;
    bool any_cold = false;
    bool const controlled = under_overload_control(request.service);
    // Requests that can wait at agents wait for an engine that serves them. An engine at which they fail has room all
    // the time, so that in a burst it would attract most of them.
    bool const waits_for_healthy = controlled && request.size;
    for (auto& [id, target] : targets_) {
        if (!eligible(target, request, now))
            continue;
        any_eligible = true;
        if (target.hold_off.active(now)) {
            add_held(held, target, now);
            continue;
        }
        double const jitter = score_jitter * random_.unit();
        double const score = load(target, request.size, now) + pause_score(target, request, now) + distance(target) +
                             target.health.failure_share() + (controlled ? 0 : jitter);
        candidate const item{&target, score, controlled ? jitter : 0};
        bool const room = !request.size || has_room(target, request, now);
        if (!permits_request(target, now)) {
            any_cold = any_cold || !target.limit.per_second();
            if (target.limit.per_second() && (room || request.accept_overcommit) && !ejected(target, now))
                add_permitless(permitless, item, now);
            continue;
        }
        bool const is_ejected = (room || waits_for_healthy) && ejected(target, now);
        if (is_ejected)
            ejected_targets.push_back(item);
        else if (!room)
            overcommitted.push_back(item);
        else
            healthy.push_back(item);
    }
    auto const place_at_best = [&](std::vector<candidate> const& list, std::string_view reason) {
        auto const& best = pick(list, request, now);
        placement made{placement_kind::placed, best.target->record.id, reason};
        if (permitless.best.target != nullptr && permitless.best.score < best.score)
            made.permit_wanted = permitless.best.target->record.id;
        return made;
    };
    if (!healthy.empty())
        return place_at_best(healthy, "least_loaded");
    // Ejected targets are still used if no other target has room, so that ejection cannot cause an outage of the
    // service.
    if (!ejected_targets.empty() && !(waits_for_healthy && !overcommitted.empty()))
        return place_at_best(ejected_targets, "all_others_full_or_ejected");
    if (!overcommitted.empty() && request.accept_overcommit)
        return place_at_best(overcommitted, "crowded");
    if (any_eligible)
        return conclude_without_room(request, permitless, held, !overcommitted.empty() || any_cold, now);
    // The targets that the request has tried may all want nothing now.
    return find_hold_off(request, now).value_or(placement{placement_kind::none, {}, "no_target"});
}

placement fleet_view::choose_copy_holder(copy_request const& copy, base::time_point now) {
    auto const* source = find(copy.source);
    target_view* best = nullptr;
    double best_score = 0;
    for (auto& [id, target] : targets_) {
        bool const permitted = permits_request(target, now);
        // Beyond its rate, a cold engine crashes.
        bool const too_cold = !permitted && now < target.cold_until;
        if (id == copy.source || !eligible(target, copy.request, now) || target.hold_off.active(now) ||
            ejected(target, now) || too_cold || !has_room_for_copy(target, copy, now))
            continue;
        auto const span = source == nullptr ? copy_span::other_region : span_between(*source, target);
        if (span > copy.widest)
            continue;
        double const score = load(target, copy.request.size, now) + pause_score(target, copy.request, now) +
                             copy_span_scores.at(static_cast<std::size_t>(span)) + score_jitter * random_.unit() +
                             (permitted ? 0 : permitless_copy_score) +
                             (reported(target, now) ? 0 : unreported_copy_score);
        if (best == nullptr || score < best_score) {
            best = &target;
            best_score = score;
        }
    }
    if (best == nullptr)
        return {placement_kind::none, {}, "no_room_for_a_copy"};
    return {placement_kind::placed, best->record.id, "least_loaded"};
}

copy_span fleet_view::span_between(target_view const& one, target_view const& other) {
    if (one.record.failure_domain == other.record.failure_domain)
        return copy_span::same_domain;
    return one.region == other.region ? copy_span::same_region : copy_span::other_region;
}

std::uint64_t fleet_view::reserve_copy(std::string const& id, std::uint32_t tokens, base::time_point now) {
    auto const found = targets_.find(id);
    if (found == targets_.end())
        return 0;
    found->second.reservations.push_back({next_reservation_, now, tokens, 0});
    return next_reservation_++;
}

std::uint64_t fleet_view::begin_request(std::string const& id, std::optional<generation_size> const& size,
                                        base::time_point now) {
    auto const found = targets_.find(id);
    if (found == targets_.end())
        return 0;
    auto& target = found->second;
    ++target.open_requests;
    // Nobody issues permits for a target that is only cold, so nobody has to know of requests without one.
    if (permitted_rate(target, now) && !target.permits.spend(now) && !target.limit.per_second())
        target.permits.take_unpermitted();
    if (!size)
        return 0;
    target.reservations.push_back({next_reservation_, now, size->expected_memory(), size->prompt});
    return next_reservation_++;
}

void fleet_view::release_reservation(std::string const& id, std::uint64_t number) {
    if (auto const found = targets_.find(id); found != targets_.end())
        std::erase_if(found->second.reservations,
                      [&](auto const& reservation) { return reservation.number == number; });
}

void fleet_view::invalidate_report(std::string const& id) {
    if (auto const found = targets_.find(id); found != targets_.end())
        found->second.reported_at = {};
}

void fleet_view::end_request(std::string const& id) {
    auto const found = targets_.find(id);
    if (found != targets_.end() && found->second.open_requests > 0)
        --found->second.open_requests;
}

void fleet_view::withdraw_request(std::string const& id, base::time_point now) {
    end_request(id);
    auto const found = targets_.find(id);
    if (found != targets_.end() && permitted_rate(found->second, now))
        found->second.permits.refund(now);
}

void fleet_view::record_outcome(std::string const& id, target_outcome outcome, base::time_point now) {
    if (auto const found = targets_.find(id); found != targets_.end())
        found->second.health.record(outcome, now);
}

bool fleet_view::observe_limit(std::string const& id, std::optional<double> named, base::time_point now) {
    auto const found = targets_.find(id);
    return found != targets_.end() && found->second.limit.on_answer(named, now);
}

bool fleet_view::merge_limit(target_incarnation const& target, limit_observation const& seen) {
    auto const found = targets_.find(target.id);
    return found != targets_.end() && found->second.record.started_at == target.started_at &&
           found->second.limit.merge(seen);
}

permit_stock* fleet_view::find_permits(std::string const& id) {
    auto const found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second.permits;
}

std::vector<std::string> fleet_view::engine_addresses(base::time_point now) const {
    std::vector<std::string> addresses;
    for (auto const& [id, target] : targets_) {
        if (capacity(target) != nullptr && (!target.removed || target.removal_unconfirmed(now)))
            addresses.push_back(target.record.address);
    }
    return addresses;
}

target_view const* fleet_view::find(std::string const& id) const {
    auto const found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second;
}

bool fleet_view::has_newer_incarnation(std::string const& address, std::int64_t started_at) const {
    return std::ranges::any_of(targets_, [&](auto const& entry) {
        auto const& target = entry.second;
        return !target.removed && target.record.address == address && target.record.started_at > started_at;
    });
}

std::uint32_t fleet_view::slots_of(std::string const& id) const {
    auto const* target = find(id);
    if (target == nullptr)
        return 0;
    auto const* engine = capacity(*target);
    return engine != nullptr ? engine->slots : target->record.slots;
}

bool fleet_view::may_receive(std::string const& id, base::time_point now) const {
    auto const* target = find(id);
    return target != nullptr && !target->leaving(now) && !target->hold_off.active(now) &&
           !evacuated(target->record.failure_domain);
}

void fleet_view::expire(base::time_point now) {
    for (auto& [service, versions] : versions_listed_at_)
        std::erase_if(versions, [now](auto const& listed) { return now - listed.second > version_lifetime; });
    std::erase_if(targets_, [&](auto const& entry) {
        auto const& target = entry.second;
        auto const lifetime = target.shown_leaving ? shown_leaving_lifetime : removed_lifetime;
        return target.removed && target.open_requests == 0 && !target.hold_off.active(now) &&
               now - target.removed_at > lifetime;
    });
}

} // namespace cyclamenledge::forwarding
