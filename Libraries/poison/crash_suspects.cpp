#include "poison/crash_suspects.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace cyclamenledge::poison {

crash_suspects::crash_suspects(crash_suspects_options options)
    : options_(options) {}

bool crash_suspects::on_crash(crash_notice const& notice, base::time_point now) {
    // A negative age would keep a crash record for longer than its lifetime.
    auto const at = now - std::max(notice.age, base::milliseconds{0});
    if (expired(at, now))
        return false;
    auto const found = find_or_insert(notice.fingerprint, at);
    auto& records = found->crash_records;
    auto const run_started = at - std::max(notice.ran_for, base::milliseconds{0});
    auto const existing = std::ranges::find_if(records, [&notice](crash_record const& record) {
        return record.target == notice.target && record.incarnation == notice.incarnation;
    });
    if (existing != records.end()) {
        // Each process on the way adds the time of the transfer, so the earliest time is the most exact one.
        std::tie(existing->at, existing->run_started) =
            std::min(std::tuple{existing->at, existing->run_started}, std::tuple{at, run_started});
        return false;
    }
    if (records.size() >= options_.maximum_crash_records) {
        auto const replaceable = std::ranges::find_if(records, &crash_record::cleared);
        if (replaceable == records.end())
            return false;
        records.erase(replaceable);
    }
    bool const cleared = at <= found->cleared;
    records.push_back({notice.target, notice.incarnation, at, run_started, cleared});
    update_newest(found, std::max(found->newest, at));
    evict_oldest();
    return !cleared;
}

bool crash_suspects::clear(suspect& cleared, base::time_point at) {
    cleared.cleared = std::max(cleared.cleared, at);
    bool any = false;
    for (auto& record : cleared.crash_records) {
        any = any || (!record.cleared && record.at <= at);
        record.cleared = record.cleared || record.at <= at;
    }
    return any;
}

bool crash_suspects::on_success(std::uint64_t fingerprint, base::time_point now) {
    auto const found = by_fingerprint_.find(fingerprint);
    if (found == by_fingerprint_.end())
        return false;
    // The suspect without crash records is kept until it expires, so that a late copy of a cleared notice does not
    // count.
    bool const any_cleared = clear(*found->second, now);
    update_newest(found->second, now);
    return any_cleared;
}

bool crash_suspects::on_peer_success(std::uint64_t fingerprint, base::milliseconds age, base::time_point now) {
    auto const at = now - std::max(age, base::milliseconds{0});
    if (expired(at, now))
        return false;
    auto const found = find_or_insert(fingerprint, at);
    bool const any_cleared = clear(*found, at);
    update_newest(found, std::max(found->newest, at));
    evict_oldest();
    return any_cleared;
}

std::size_t crash_suspects::count_separate_crashes(suspect const& counted, base::time_point now) const {
    auto records = counted.crash_records;
    std::erase_if(records,
                  [this, now](crash_record const& record) { return record.cleared || expired(record.at, now); });
    std::ranges::sort(records, {}, &crash_record::at);
    std::set<std::string_view> targets;
    auto last_crash = base::time_point::min();
    for (auto const& record : records) {
        if (record.run_started >= last_crash && targets.insert(record.target).second)
            last_crash = record.at;
    }
    return targets.size();
}

bool crash_suspects::suspects(std::uint64_t fingerprint, base::time_point now) const {
    auto const found = by_fingerprint_.find(fingerprint);
    return found != by_fingerprint_.end() && count_separate_crashes(*found->second, now) > 0;
}

bool crash_suspects::refuses(std::uint64_t fingerprint, base::time_point now) const {
    auto const found = by_fingerprint_.find(fingerprint);
    return found != by_fingerprint_.end() && count_separate_crashes(*found->second, now) >= options_.targets_to_refuse;
}

base::milliseconds crash_suspects::time_to_expiry(std::uint64_t fingerprint, base::time_point now) const {
    auto const found = by_fingerprint_.find(fingerprint);
    auto left = base::milliseconds{0};
    if (found == by_fingerprint_.end())
        return left;
    for (auto const& record : found->second->crash_records) {
        if (!record.cleared)
            left = std::max(
                left, std::chrono::duration_cast<base::milliseconds>(record.at + options_.crash_record_lifetime - now));
    }
    return left;
}

std::vector<crash_notice> crash_suspects::notices(base::time_point now) const {
    std::vector<crash_notice> notices;
    for (auto const& item : suspects_) {
        for (auto const& record : item.crash_records) {
            if (!record.cleared && !expired(record.at, now))
                notices.push_back({item.fingerprint, record.target, record.incarnation,
                                   std::chrono::duration_cast<base::milliseconds>(now - record.at),
                                   std::chrono::duration_cast<base::milliseconds>(record.at - record.run_started)});
        }
    }
    return notices;
}

void crash_suspects::expire(base::time_point now) {
    while (!suspects_.empty() && expired(suspects_.front().newest, now)) {
        by_fingerprint_.erase(suspects_.front().fingerprint);
        suspects_.pop_front();
    }
}

crash_suspects::suspect_list::iterator crash_suspects::find_or_insert(std::uint64_t fingerprint, base::time_point at) {
    if (auto const found = by_fingerprint_.find(fingerprint); found != by_fingerprint_.end())
        return found->second;
    suspects_.push_back({fingerprint, {}, at});
    auto const found = std::prev(suspects_.end());
    by_fingerprint_.emplace(fingerprint, found);
    return found;
}

void crash_suspects::update_newest(suspect_list::iterator updated, base::time_point at) {
    updated->newest = at;
    // Notices arrive nearly in the order of the crashes, so the search from the back is short.
    auto before = suspects_.end();
    while (before != suspects_.begin()) {
        auto const previous = std::prev(before);
        if (previous != updated &&
            std::tie(previous->newest, previous->fingerprint) < std::tie(updated->newest, updated->fingerprint))
            break;
        before = previous;
    }
    if (before != updated)
        suspects_.splice(before, suspects_, updated);
}

void crash_suspects::evict_oldest() {
    while (suspects_.size() > options_.maximum_fingerprints) {
        by_fingerprint_.erase(suspects_.front().fingerprint);
        suspects_.pop_front();
    }
}

} // namespace cyclamenledge::poison
