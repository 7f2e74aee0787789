#include "forwarding/shared_outcomes.h"

#include <algorithm>
#include <set>

namespace cyclamenledge::forwarding {

namespace {

// Failures of a row that are kept. Later ones do not change a decision; the bound limits the memory.
constexpr std::size_t maximum_row = 64;
// Recent outcomes that are kept. A few hundred come within the window at the highest request rates of one engine.
constexpr std::size_t maximum_recent = 512;

} // namespace

void shared_outcomes::record(granted_outcome const& outcome, base::time_point now) {
    advance(now);
    if (leaving_)
        return;
    recent_.push_back({outcome, now});
    while (recent_.size() > maximum_recent || now - recent_.front().at > share_window)
        recent_.pop_front();
    if (outcome.failed)
        record_failure(outcome, now);
    else
        record_success(outcome);
}

void shared_outcomes::record_success(granted_outcome const& outcome) {
    last_success_granted_ = std::max(last_success_granted_, outcome.granted_at);
    std::erase_if(row_, [&](granted_outcome const& failure) { return failure.granted_at <= last_success_granted_; });
    if (marked() && outcome.granted_at >= last_failure_granted_)
        reset();
}

void shared_outcomes::record_failure(granted_outcome const& outcome, base::time_point now) {
    last_failure_granted_ = std::max(last_failure_granted_, outcome.granted_at);
    if (outcome.granted_at > last_success_granted_) {
        row_.push_back(outcome);
        if (row_.size() > maximum_row)
            row_.pop_front();
    }
    // Requests that were on their way when the engine was marked say nothing about later ones.
    bool const continues = marked() && outcome.granted_at >= period_began_;
    if (failing()) {
        failed_in_period_ = failed_in_period_ || continues;
        return;
    }
    bool const row_complete = row_.size() >= failures_to_mark && entries_in_row() >= entries_to_mark;
    // After a period has passed without a success, the next failure marks the engine again.
    if (marked() ? continues : row_complete || share_exceeded())
        begin_period(now);
}

bool shared_outcomes::share_exceeded() const {
    std::set<std::uint64_t> entries;
    std::size_t failures = 0;
    for (auto const& [outcome, at] : recent_) {
        if (!outcome.failed)
            continue;
        ++failures;
        entries.insert(outcome.entry);
    }
    return recent_.size() >= outcomes_to_judge_share && entries.size() >= entries_to_mark &&
           static_cast<double>(failures) > share_to_mark * static_cast<double>(recent_.size());
}

std::size_t shared_outcomes::entries_in_row() const {
    std::set<std::uint64_t> entries;
    for (auto const& failure : row_)
        entries.insert(failure.entry);
    return entries.size();
}

void shared_outcomes::begin_period(base::time_point now) {
    if (!failing())
        last_probe_ = now;
    period_ = marked() ? std::min(2 * period_, longest_period) : first_period;
    period_began_ = now;
    failing_until_ = now + period_;
    failed_in_period_ = false;
}

void shared_outcomes::advance(base::time_point now) {
    while (failing_until_ && now >= *failing_until_) {
        if (failed_in_period_)
            begin_period(*failing_until_);
        else
            failing_until_.reset();
    }
}

bool shared_outcomes::admits(base::time_point now) const {
    return !failing_until_ || now >= *failing_until_ || now - last_probe_ >= probe_interval;
}

void shared_outcomes::on_granted(base::time_point now) {
    if (failing())
        last_probe_ = now;
}

void shared_outcomes::remove_entry(std::uint64_t entry) {
    std::erase_if(row_, [&](granted_outcome const& failure) { return failure.entry == entry; });
    std::erase_if(recent_, [&](recent_outcome const& recent) { return recent.outcome.entry == entry; });
}

void shared_outcomes::on_leaving() {
    reset();
    leaving_ = true;
}

void shared_outcomes::reset() {
    recent_.clear();
    row_.clear();
    failing_until_.reset();
    period_ = {};
    failed_in_period_ = false;
}

} // namespace cyclamenledge::forwarding
