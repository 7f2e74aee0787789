#include "forwarding/grant_ledger.h"

#include "forwarding/engine_room.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::forwarding {

namespace {

// Tokens that a running request is expected to add before the memory of one that ends is free again.
constexpr double growth_per_request = 150;
// A request that has outlived its estimate goes on for a while.
constexpr double least_growth = 50;
// A prompt that the engine reads without a grant: of an entry that could not ask, or read again after a preemption.
constexpr double usual_prompt_tokens = 2600;
// The part of the prompt being read that is taken to be left at least, when reading takes longer than expected.
constexpr double least_unread_share = 0.1;
// A granted request has arrived within this time, also over a new connection from another region.
constexpr base::milliseconds arrival_time{400};
// The copy of a request shows in the reports after this time.
constexpr base::milliseconds copy_visible_after{150};
// An entry that still reads answers would have ended its request by then.
constexpr base::seconds longest_unread{10};
// Reading times of shorter prompts say little, because reports are 50 ms apart.
constexpr double telling_prompt_tokens = 1500;
constexpr double pace_weight = 0.3;
constexpr double slowest_pace = 0.5;
constexpr double fastest_pace = 14;
// Copies may fill an engine nearly, because the request that they belong to would be lost otherwise.
constexpr double copy_share = 0.97;

} // namespace

bool grant_ledger::grant(place_request wanted, engine_report const& newest, base::time_point now) {
    if (newest.leaving)
        return false;
    auto const completed = complete(newest, now);
    bool const copy = wanted.unread_tokens == 0;
    engine_promises promises;
    if (copy)
        promises.memory_tokens = promised_copies();
    engine_room const room{completed, promises, {}};
    bool const fits = copy ? room.takes_copy(wanted.memory_tokens, copy_share, wanted.slots)
                           : room.takes_prompt(wanted.memory_tokens, wanted.slots);
    if (!fits && !wanted.accept_crowded)
        return false;
    if (!copy && first_unread() == nullptr)
        reading_since_ = now;
    places_.push_back({std::move(wanted), now, false});
    return true;
}

void grant_ledger::end(std::string const& request, base::time_point now) {
    auto const* first = first_unread();
    bool const was_first = first != nullptr && first->wanted.request == request;
    std::erase_if(places_, [&](place const& item) { return item.wanted.request == request; });
    if (was_first)
        reading_since_ = now;
}

void grant_ledger::remove_entry(std::uint64_t entry) {
    std::erase_if(places_, [&](place const& item) { return item.wanted.entry == entry; });
}

grant_ledger::place const* grant_ledger::find(std::string const& request) const {
    auto const found = std::ranges::find(places_, request, [](place const& item) { return item.wanted.request; });
    return found == places_.end() ? nullptr : &*found;
}

grant_ledger::place const* grant_ledger::first_unread() const {
    auto const found = std::ranges::find_if(places_, &place::unread);
    return found == places_.end() ? nullptr : &*found;
}

void grant_ledger::observe(engine_report const& report, base::time_point now) {
    auto const shown = [&](place const& item) {
        return std::ranges::find(report.generating, item.wanted.request, &generating_request::request) !=
               report.generating.end();
    };
    double tokens_read = 0;
    for (auto& item : places_) {
        if (item.generating || !shown(item))
            continue;
        item.generating = true;
        tokens_read += item.wanted.unread_tokens;
    }
    if (tokens_read > 0)
        learn_pace(tokens_read, now);
    bool const nothing_unread = report.queued + report.reading == 0;
    std::erase_if(places_, [&](place const& item) {
        auto const age = now - item.granted_at;
        if (item.generating)
            return !shown(item);
        if (item.wanted.unread_tokens == 0)
            return age > copy_visible_after;
        return age > longest_unread || (nothing_unread && age > arrival_time);
    });
}

void grant_ledger::learn_pace(double tokens_read, base::time_point now) {
    auto const duration = std::chrono::duration<double, std::milli>(now - reading_since_).count();
    reading_since_ = now;
    if (tokens_read < telling_prompt_tokens || duration <= 0)
        return;
    auto const seen = std::clamp(tokens_read / duration, slowest_pace, fastest_pace);
    reading_pace_ += pace_weight * (seen - reading_pace_);
}

double grant_ledger::promised_copies() const {
    double sum = 0;
    for (auto const& item : places_) {
        if (!item.generating && item.wanted.unread_tokens == 0)
            sum += item.wanted.memory_tokens;
    }
    return sum;
}

double grant_ledger::unread_tokens(engine_report const& report, base::time_point now) const {
    double sum = 0;
    std::uint32_t known = 0;
    for (auto const& item : places_) {
        if (!item.unread())
            continue;
        double left = item.wanted.unread_tokens;
        if (known == 0) {
            auto const reading = std::chrono::duration<double, std::milli>(now - reading_since_).count();
            left = std::max(least_unread_share * left, left - reading_pace_ * reading);
        }
        sum += left;
        ++known;
    }
    auto const shown = report.queued + report.reading;
    return sum + usual_prompt_tokens * (shown > known ? shown - known : 0);
}

double grant_ledger::committed_tokens(engine_report const& report) const {
    double sum = report.held_tokens;
    double explained = report.held_tokens;
    for (auto const& item : report.generating) {
        auto const* known = find(item.request);
        double growth = growth_per_request;
        if (known != nullptr && known->wanted.memory_tokens > 0)
            growth = std::clamp(static_cast<double>(known->wanted.memory_tokens) - item.tokens, least_growth,
                                growth_per_request);
        sum += item.tokens + growth;
        explained += item.tokens;
    }
    for (auto const& item : places_) {
        if (item.generating)
            continue;
        auto const prompt = item.wanted.unread_tokens > 0 ? item.wanted.unread_tokens : item.wanted.memory_tokens;
        sum += prompt + std::min(growth_per_request, static_cast<double>(item.wanted.memory_tokens - prompt));
        explained += prompt;
    }
    // Memory of requests without a grant whose prompt is read.
    return sum + std::max(0.0, report.used_tokens - explained);
}

engine_report grant_ledger::complete(engine_report report, base::time_point now) const {
    report.unread_tokens = static_cast<std::uint32_t>(unread_tokens(report, now));
    report.reading_pace = reading_pace_;
    report.committed_tokens = static_cast<std::uint32_t>(committed_tokens(report));
    return report;
}

} // namespace cyclamenledge::forwarding
