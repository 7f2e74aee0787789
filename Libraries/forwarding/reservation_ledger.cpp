#include "forwarding/reservation_ledger.h"

#include "forwarding/engine_room.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::forwarding {

namespace {

// Tokens that a running request is expected to add before another request ends and frees its memory.
constexpr double expected_growth = 150;
// Minimum expected growth in tokens: a request that has exceeded its estimate is expected to run on for some time.
constexpr double minimum_growth = 50;
// Estimated length of a prompt without a reservation: one from an entry that could not request a reservation, or one
// that is read again after a preemption.
constexpr double default_prompt_tokens = 2600;
// Minimum share of the current prompt that counts as unread while reading it takes longer than expected.
constexpr double minimum_unread_share = 0.1;
// Time within which a request arrives after its grant, also over a new connection from another region.
constexpr base::milliseconds arrival_time{400};
// Time after which the reports include the copy of a request.
constexpr base::milliseconds copy_report_lag{150};
// Maximum age of a reservation with an unread prompt. An entry that still receives responses would have ended the
// request by then.
constexpr base::seconds maximum_unread_age{10};
// Shorter prompts are not used to estimate the reading pace, because reports are 50 ms apart.
constexpr double minimum_measured_prompt_tokens = 1500;
constexpr double pace_weight = 0.3;
constexpr double minimum_pace = 0.5;
constexpr double maximum_pace = 14;
// Reports are 50 ms apart, in which a request grows by a few tokens, so that a single measurement is coarse.
constexpr double token_time_weight = 0.1;
// Limits of the time per token: an engine without other requests, and one that has nearly stopped.
constexpr double minimum_token_time = 2;
constexpr double maximum_token_time = 400;
// Copies may fill an engine almost completely, because the copied request would fail otherwise.
constexpr double copy_share = 0.97;

} // namespace

bool reservation_ledger::grant(reservation_request requested, engine_report const& latest, base::time_point now,
                               prompt_limits const& limits) {
    if (latest.leaving)
        return false;
    auto const completed = complete(latest, now);
    bool const copy = requested.unread_tokens == 0;
    engine_reservations reservations;
    if (copy)
        reservations.memory_tokens = reserved_for_copies();
    engine_room const room{completed, reservations, {}};
    bool const fits = copy ? room.fits_copy(requested.memory_tokens, copy_share, requested.slots)
                           : room.fits_prompt(requested.memory_tokens, requested.slots, limits);
    if (!fits && !requested.accept_overcommit)
        return false;
    if (!copy && first_unread() == nullptr)
        reading_since_ = now;
    reservations_.push_back({std::move(requested), now, false});
    return true;
}

void reservation_ledger::end(std::string const& request, base::time_point now) {
    auto const* first = first_unread();
    bool const was_first = first != nullptr && first->requested.request == request;
    std::erase_if(reservations_, [&](reservation const& held) { return held.requested.request == request; });
    if (was_first)
        reading_since_ = now;
}

void reservation_ledger::remove_entry(std::uint64_t entry) {
    std::erase_if(reservations_, [&](reservation const& held) { return held.requested.entry == entry; });
}

reservation_ledger::reservation const* reservation_ledger::find(std::string const& request) const {
    auto const found =
        std::ranges::find(reservations_, request, [](reservation const& held) { return held.requested.request; });
    return found == reservations_.end() ? nullptr : &*found;
}

reservation_ledger::reservation const* reservation_ledger::first_unread() const {
    auto const found = std::ranges::find_if(reservations_, &reservation::unread);
    return found == reservations_.end() ? nullptr : &*found;
}

std::optional<base::time_point> reservation_ledger::granted_unseen(std::string const& request) const {
    auto const* held = find(request);
    return held != nullptr && !held->generating ? std::optional{held->granted_at} : std::nullopt;
}

std::vector<reservation_ledger::started_request> reservation_ledger::observe(engine_report const& report,
                                                                             base::time_point now) {
    update_token_time(report, now);
    std::vector<started_request> started;
    auto const is_generating = [&](reservation const& held) {
        return std::ranges::find(report.generating, held.requested.request, &generating_request::request) !=
               report.generating.end();
    };
    double tokens_read = 0;
    for (auto& held : reservations_) {
        if (held.generating || !is_generating(held))
            continue;
        held.generating = true;
        tokens_read += held.requested.unread_tokens;
        if (held.requested.unread_tokens > 0)
            started.push_back({held.requested.entry, held.granted_at});
    }
    if (tokens_read > 0)
        update_reading_pace(tokens_read, now);
    bool const nothing_unread = report.queued + report.reading == 0;
    std::erase_if(reservations_, [&](reservation const& held) {
        auto const age = now - held.granted_at;
        if (held.generating)
            return !is_generating(held);
        if (held.requested.unread_tokens == 0)
            return age > copy_report_lag;
        return age > maximum_unread_age || (nothing_unread && age > arrival_time);
    });
    return started;
}

void reservation_ledger::update_reading_pace(double tokens_read, base::time_point now) {
    auto const duration = std::chrono::duration<double, std::milli>(now - reading_since_).count();
    reading_since_ = now;
    if (tokens_read < minimum_measured_prompt_tokens || duration <= 0)
        return;
    auto const measured = std::clamp(tokens_read / duration, minimum_pace, maximum_pace);
    reading_pace_ += pace_weight * (measured - reading_pace_);
}

void reservation_ledger::update_token_time(engine_report const& report, base::time_point now) {
    auto const since = std::chrono::duration<double, std::milli>(now - observed_at_).count();
    observed_at_ = now;
    double grown = 0;
    double request_time = 0;
    for (auto const& running : report.generating) {
        auto const held = std::ranges::find(reservations_, running.request,
                                            [](reservation const& item) { return item.requested.request; });
        if (held == reservations_.end())
            continue;
        if (held->generating && held->tokens > 0 && running.tokens >= held->tokens) {
            grown += running.tokens - held->tokens;
            request_time += since;
        }
        held->tokens = running.tokens;
    }
    if (request_time <= 0)
        return;
    auto const measured = std::clamp(request_time / std::max(1.0, grown), minimum_token_time, maximum_token_time);
    token_time_ += token_time_weight * (measured - token_time_);
}

double reservation_ledger::tokens_to_come(generating_request const& running) const {
    auto const* held = find(running.request);
    if (held == nullptr || held->requested.memory_tokens == 0)
        return expected_growth;
    return std::max(static_cast<double>(held->requested.memory_tokens) - running.tokens, minimum_growth);
}

std::vector<memory_release> reservation_ledger::releases(engine_report const& report) const {
    std::vector<memory_release> result;
    auto const add = [&](double start_ms, double to_come, double tokens) {
        auto const end = start_ms + to_come * token_time_;
        result.push_back({base::milliseconds{static_cast<std::int64_t>(end)}, tokens});
    };
    for (auto const& running : report.generating) {
        auto const to_come = tokens_to_come(running);
        add(0, to_come, running.tokens + std::min(to_come, expected_growth));
    }
    double unread = 0;
    for (auto const& held : reservations_) {
        if (held.generating)
            continue;
        unread += held.requested.unread_tokens;
        auto const prompt =
            held.requested.unread_tokens > 0 ? held.requested.unread_tokens : held.requested.memory_tokens;
        auto const output = std::max(0.0, static_cast<double>(held.requested.memory_tokens) - prompt);
        add(unread / reading_pace_, output, prompt + std::min(output, expected_growth));
    }
    return result;
}

double reservation_ledger::reserved_for_copies() const {
    double sum = 0;
    for (auto const& held : reservations_) {
        if (!held.generating && held.requested.unread_tokens == 0)
            sum += held.requested.memory_tokens;
    }
    return sum;
}

double reservation_ledger::unread_tokens(engine_report const& report, base::time_point now) const {
    double sum = 0;
    std::uint32_t reserved_prompts = 0;
    for (auto const& held : reservations_) {
        if (!held.unread())
            continue;
        double left = held.requested.unread_tokens;
        if (reserved_prompts == 0) {
            auto const reading = std::chrono::duration<double, std::milli>(now - reading_since_).count();
            left = std::max(minimum_unread_share * left, left - reading_pace_ * reading);
        }
        sum += left;
        ++reserved_prompts;
    }
    auto const reported_prompts = report.queued + report.reading;
    return sum +
           default_prompt_tokens * (reported_prompts > reserved_prompts ? reported_prompts - reserved_prompts : 0);
}

double reservation_ledger::committed_tokens(engine_report const& report) const {
    double sum = report.held_tokens;
    double explained = report.held_tokens;
    for (auto const& running : report.generating) {
        sum += running.tokens + std::min(tokens_to_come(running), expected_growth);
        explained += running.tokens;
    }
    for (auto const& held : reservations_) {
        if (held.generating)
            continue;
        auto const prompt =
            held.requested.unread_tokens > 0 ? held.requested.unread_tokens : held.requested.memory_tokens;
        sum += prompt + std::min(expected_growth, static_cast<double>(held.requested.memory_tokens - prompt));
        explained += prompt;
    }
    // Memory that no known request accounts for: requests without a reservation whose prompt has been read.
    return sum + std::max(0.0, report.used_tokens - explained);
}

engine_report reservation_ledger::complete(engine_report report, base::time_point now) const {
    report.unread_tokens = static_cast<std::uint32_t>(unread_tokens(report, now));
    report.reading_pace = reading_pace_;
    report.committed_tokens = static_cast<std::uint32_t>(committed_tokens(report));
    return report;
}

} // namespace cyclamenledge::forwarding
