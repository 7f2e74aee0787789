#include "forwarding/reservation_controller.h"

#include "forwarding/expected_room.h"
#include "forwarding/prompt_limits.h"

#include <iterator>
#include <utility>

namespace cyclamenledge::forwarding {

namespace {

// Request that the expected room of a report refers to: a prompt of usual size that arrives now, of the class that
// waits longest.
constexpr std::uint32_t usual_tokens = 3000;
constexpr urgency usual_urgency = urgency::of_route(1);

prompt_need need_of(reservation_request const& requested) {
    return {static_cast<double>(requested.memory_tokens), static_cast<double>(requested.unread_tokens), 1};
}

void append(reservation_controller::answers& all, reservation_controller::answers added) {
    all.insert(all.end(), std::make_move_iterator(added.begin()), std::make_move_iterator(added.end()));
}

} // namespace

bool reservation_controller::grant_immediately(reservation_request requested, engine_report const& latest,
                                               base::time_point now) {
    return ledger_.grant(std::move(requested), latest, now);
}

bool reservation_controller::try_grant(waiting_reservation const& item, engine_report const& latest,
                                       base::time_point now) {
    if (!outcomes_.admits(now) || !ledger_.grant(item.requested, latest, now, limits_of(item.urgent)))
        return false;
    outcomes_.on_granted(now);
    return true;
}

reservation_controller::answers reservation_controller::request(waiting_reservation item, engine_report const& latest,
                                                                base::time_point now) {
    slots_ = item.requested.slots;
    outcomes_.advance(now);
    if (latest.leaving || !outcomes_.admits(now))
        return {{item.requested.entry, item.requested.request, false, std::nullopt}};
    bool const too_large = item.requested.memory_tokens > limits_of(item.urgent).memory_share * latest.total_tokens;
    // A request that is larger than its class may occupy never gets room by waiting, and would hold back the others.
    bool const waits = !item.requested.accept_overcommit && !too_large;
    if (!waits) {
        bool const first = item.requested.accept_overcommit || queue_.ahead_of(item, now).empty();
        bool const granted = first && try_grant(item, latest, now);
        return {{item.requested.entry, item.requested.request, granted, std::nullopt}};
    }
    auto const removed = queue_.add(std::move(item), now);
    auto result = advance(latest, now);
    if (removed)
        append(result, refuse({*removed}, latest, now));
    // While the engine is failing, nothing waits: the next probe is a request that arrives later.
    if (outcomes_.failing())
        append(result, refuse(queue_.clear(), latest, now));
    return result;
}

reservation_controller::answers reservation_controller::advance(engine_report const& latest, base::time_point now) {
    outcomes_.advance(now);
    auto const expired = queue_.expire(now);
    answers result;
    auto const granted =
        queue_.grant([&](waiting_reservation const& item) { return try_grant(item, latest, now); }, now);
    for (auto const& item : granted)
        result.push_back({item.requested.entry, item.requested.request, true, std::nullopt});
    append(result, refuse(expired, latest, now));
    return result;
}

reservation_controller::answers reservation_controller::end(std::uint64_t entry, std::string const& request,
                                                            std::optional<bool> failed, engine_report const& latest,
                                                            base::time_point now) {
    auto const granted_at = ledger_.granted_unseen(request);
    ledger_.end(request, now);
    queue_.remove(request);
    // A request that a report has shown generating was counted then. Streams last for several seconds, so that the end
    // of one tells late that the engine served it.
    if (failed && (*failed || granted_at))
        outcomes_.record({entry, *failed, granted_at.value_or(now)}, now);
    if (outcomes_.failing())
        return refuse(queue_.clear(), latest, now);
    return advance(latest, now);
}

reservation_controller::answers reservation_controller::remove_entry(std::uint64_t entry, engine_report const& latest,
                                                                     base::time_point now) {
    ledger_.remove_entry(entry);
    queue_.remove_entry(entry);
    outcomes_.remove_entry(entry);
    return advance(latest, now);
}

reservation_controller::answers reservation_controller::observe(engine_report const& report, base::time_point now) {
    answers result;
    if (started_at_ && *started_at_ != report.started_at) {
        ledger_ = {};
        outcomes_ = {};
        result = refuse(queue_.clear(), report, now);
    }
    started_at_ = report.started_at;
    if (report.leaving)
        outcomes_.on_leaving();
    for (auto const& started : ledger_.observe(report, now))
        outcomes_.record({started.entry, false, started.granted_at}, now);
    append(result, report.leaving ? refuse(queue_.clear(), report, now) : advance(report, now));
    return result;
}

std::optional<base::milliseconds> reservation_controller::room_in(waiting_reservation const& item,
                                                                  engine_report const& latest,
                                                                  base::time_point now) const {
    if (latest.leaving || outcomes_.failing())
        return std::nullopt;
    auto const completed = ledger_.complete(latest, now);
    prompt_need ahead{0, 0, 0};
    for (auto const& other : queue_.ahead_of(item, now))
        ahead += need_of(other.requested);
    return expected_room{completed, ledger_.releases(latest), slots_}.time_until(need_of(item.requested), ahead,
                                                                                 limits_of(item.urgent));
}

reservation_controller::answers reservation_controller::refuse(std::vector<waiting_reservation> const& items,
                                                               engine_report const& latest,
                                                               base::time_point now) const {
    answers result;
    result.reserve(items.size());
    for (auto const& item : items)
        result.push_back({item.requested.entry, item.requested.request, false, room_in(item, latest, now)});
    return result;
}

engine_report reservation_controller::complete(engine_report report, base::time_point now) const {
    if (slots_ > 0) {
        waiting_reservation const usual{
            {0, {}, usual_tokens, usual_tokens, slots_, false}, usual_urgency, now, base::time_point::max(), now};
        report.room_in = room_in(usual, report, now);
    }
    report = ledger_.complete(std::move(report), now);
    report.failing = outcomes_.failing();
    report.waiting = static_cast<std::uint32_t>(queue_.waiting().size());
    report.waiting_tokens = queue_.memory_tokens();
    return report;
}

} // namespace cyclamenledge::forwarding
