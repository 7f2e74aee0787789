#include "soak/notice_ledger.h"

#include <algorithm>

namespace cyclamenledge::soak {

namespace {

constexpr base::milliseconds leaving_bound{2500};
// Requests on their way when the answer was sent.
constexpr base::milliseconds turn_away_grace{500};
constexpr std::uint32_t permitted_while_turned_away = 2;

} // namespace

void notice_ledger::assign_entry(std::string const& request, std::string const& entry, base::time_point now) {
    calls_[request] = {entry, now, entry_lives_[entry]};
}

void notice_ledger::on_answer(std::string const& request, base::time_point now) {
    auto const said = said_leaving_.find(request);
    auto const call = calls_.find(request);
    if (said == said_leaving_.end() || call == calls_.end())
        return;
    if (call->second.entry_life == entry_lives_[call->second.entry])
        told_leaving_.try_emplace({call->second.entry, said->second}, now);
    said_leaving_.erase(said);
}

void notice_ledger::on_turned_away(std::string const& request, std::string const& target, base::time_point now,
                                   base::time_point until) {
    if (auto const call = calls_.find(request); call != calls_.end())
        turned_away_[{call->second.entry, target}].push_back({now, until, 0});
}

void notice_ledger::forget_entry(std::string const& entry) {
    ++entry_lives_[entry];
    std::erase_if(told_leaving_, [&](auto const& item) { return item.first.first == entry; });
    std::erase_if(turned_away_, [&](auto const& item) { return item.first.first == entry; });
}

std::optional<std::string> notice_ledger::on_arrival(std::string const& request, std::string const& target,
                                                     base::time_point now, base::time_point calm_from) {
    auto const call = calls_.find(request);
    if (call == calls_.end())
        return std::nullopt;
    auto const& [entry, began, life] = call->second;
    ++arrivals_[target];
    auto const told = told_leaving_.find({entry, target});
    if (told != told_leaving_.end() && began > told->second)
        ++arrivals_after_leaving_[target];
    if (told != told_leaving_.end() && began > told->second + leaving_bound)
        return "reached a target that had said to " + entry + " that it leaves: " + request + " at " + target;
    auto const found = turned_away_.find({entry, target});
    if (found == turned_away_.end())
        return std::nullopt;
    std::erase_if(found->second, [&](auto const& item) { return now >= item.until; });
    std::uint32_t most = 0;
    for (auto& item : found->second) {
        if (now < item.answered_at + turn_away_grace)
            continue;
        ++item.arrivals;
        if (item.answered_at > calm_from)
            most = std::max(most, item.arrivals);
    }
    if (most <= permitted_while_turned_away)
        return std::nullopt;
    return "reached a target that wanted nothing from " + entry + ": " + request + " at " + target;
}

std::size_t notice_ledger::arrivals_after_leaving(std::string const& target) const {
    auto const found = arrivals_after_leaving_.find(target);
    return found == arrivals_after_leaving_.end() ? 0 : found->second;
}

std::size_t notice_ledger::arrivals(std::string const& target) const {
    auto const found = arrivals_.find(target);
    return found == arrivals_.end() ? 0 : found->second;
}

} // namespace cyclamenledge::soak
