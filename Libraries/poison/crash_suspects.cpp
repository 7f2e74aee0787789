#include "poison/crash_suspects.h"

#include <algorithm>
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
    if (at <= found->cleared)
        return false;
    auto& crash_records = found->crash_records;
    auto const existing =
        std::find_if(crash_records.begin(), crash_records.end(),
                     [&notice](crash_record const& record) { return record.target == notice.target; });
    // Each target counts once, with its newest crash. Taking the maximum makes the merge independent of the order.
    bool const is_new =
        existing == crash_records.end() || (existing->incarnation != notice.incarnation && at > existing->at);
    auto const run_started = at - std::max(notice.ran_for, base::milliseconds{0});
    if (existing == crash_records.end())
        crash_records.push_back({notice.target, notice.incarnation, at, run_started});
    else if (std::tie(at, notice.incarnation, run_started) >
             std::tie(existing->at, existing->incarnation, existing->run_started))
        *existing = {notice.target, notice.incarnation, at, run_started};
    if (crash_records.size() > options_.maximum_crash_records)
        crash_records.erase(std::min_element(
            crash_records.begin(), crash_records.end(), [](crash_record const& left, crash_record const& right) {
                return std::tie(left.at, left.target) < std::tie(right.at, right.target);
            }));
    update_newest(found, std::max(found->newest, at));
    evict_oldest();
    return is_new;
}

bool crash_suspects::clear(suspect& cleared, base::time_point at) {
    cleared.cleared = std::max(cleared.cleared, at);
    return std::erase_if(cleared.crash_records, [at](crash_record const& record) { return record.at <= at; }) > 0;
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
    std::erase_if(records, [this, now](crash_record const& record) { return expired(record.at, now); });
    std::ranges::sort(records, {}, &crash_record::at);
    std::size_t count = 0;
    auto last_crash = base::time_point::min();
    for (auto const& record : records) {
        if (record.run_started < last_crash)
            continue;
        ++count;
        last_crash = record.at;
    }
    return count;
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
    if (found == by_fingerprint_.end() || found->second->crash_records.empty())
        return base::milliseconds{0};
    auto const newest = std::ranges::max_element(found->second->crash_records, {}, &crash_record::at)->at;
    return std::max(base::milliseconds{0},
                    std::chrono::duration_cast<base::milliseconds>(newest + options_.crash_record_lifetime - now));
}

std::vector<crash_notice> crash_suspects::notices(base::time_point now) const {
    std::vector<crash_notice> notices;
    for (auto const& item : suspects_) {
        for (auto const& record : item.crash_records) {
            if (!expired(record.at, now))
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
