#include "poison/crash_suspects.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <tuple>
#include <utility>

namespace cyclamenledge::poison {

namespace {

// Ages of notices leave out the time that they take to arrive, which differs between crashes. A run that was started
// right after a crash must not seem to overlap with it.
constexpr base::milliseconds notice_delay{100};
// When all targets of a service crash for a reason of their own, the parts that most requests share must not stay
// refused after the targets are back.
constexpr base::seconds sound_part_record_lifetime{15};

base::seconds record_lifetime(content_kind kind, bool has_succeeded, base::seconds usual) {
    bool const sound_part = kind == content_kind::prompt_part && has_succeeded;
    return sound_part ? std::min(sound_part_record_lifetime, usual) : usual;
}

} // namespace

crash_suspects::crash_suspects(crash_suspects_options options)
    : options_(options)
    , part_successes_(options.maximum_remembered_successes) {}

bool crash_suspects::on_crash(crash_notice const& notice, base::time_point now) {
    // A negative age would keep a crash record for longer than its lifetime.
    auto const at = now - std::max(notice.age, base::milliseconds{0});
    if (expired(at, now))
        return false;
    auto const found = find_or_insert(notice.fingerprint, at);
    found->kind = notice.kind;
    auto const own_success = part_successes_.last(notice.fingerprint);
    if (own_success)
        found->cleared = std::max(found->cleared, *own_success);
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
        remove_from_crash(*replaceable, notice.fingerprint);
        records.erase(replaceable);
    }
    crash_record record{notice.target, notice.incarnation, at, run_started, false};
    record.cleared = clears(*found, record, found->cleared);
    bool const cleared = record.cleared;
    found->refutation_due = found->refutation_due || (cleared && own_success && clears(*found, record, *own_success));
    auto& in_crash = by_crash_[identity_of(record)];
    if (std::ranges::find(in_crash, notice.fingerprint) == in_crash.end())
        in_crash.push_back(notice.fingerprint);
    records.push_back(std::move(record));
    update_newest(found, std::max(found->newest, at));
    evict_oldest();
    return !cleared;
}

bool crash_suspects::clears(suspect const& cleared, crash_record const& record, base::time_point success) {
    // The success of a whole request may be that of the run which crashed the target after its answer.
    return (cleared.kind == content_kind::prompt_part ? record.run_started : record.at) <= success;
}

bool crash_suspects::clear(suspect& cleared, base::time_point at) {
    cleared.cleared = std::max(cleared.cleared, at);
    bool any = false;
    for (auto& record : cleared.crash_records) {
        bool const clears_record = clears(cleared, record, at);
        any = any || (!record.cleared && clears_record);
        record.cleared = record.cleared || clears_record;
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

bool crash_suspects::on_part_success(std::uint64_t fingerprint, base::time_point now) {
    part_successes_.add(fingerprint, now);
    return on_success(fingerprint, now);
}

std::optional<base::milliseconds> crash_suspects::take_refutation(std::uint64_t fingerprint, base::time_point now) {
    auto const found = by_fingerprint_.find(fingerprint);
    auto const success = part_successes_.last(fingerprint);
    if (found == by_fingerprint_.end() || !success || !std::exchange(found->second->refutation_due, false))
        return std::nullopt;
    return std::chrono::duration_cast<base::milliseconds>(now - *success);
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

crash_suspects::crash_identity crash_suspects::identity_of(crash_record const& record) {
    return {record.target, record.incarnation};
}

crash_suspects::suspect const* crash_suspects::find(std::uint64_t fingerprint) const {
    auto const found = by_fingerprint_.find(fingerprint);
    return found == by_fingerprint_.end() ? nullptr : &*found->second;
}

std::size_t crash_suspects::targets_to_refuse(suspect const& judged) const {
    if (judged.kind == content_kind::request)
        return options_.targets_to_refuse;
    return judged.has_succeeded() ? options_.targets_to_refuse_sound_part : options_.targets_to_refuse_part;
}

crash_suspects::crash_records crash_suspects::current_records(suspect const& counted, base::time_point now) const {
    crash_records records;
    auto const lifetime = record_lifetime(counted.kind, counted.has_succeeded(), options_.crash_record_lifetime);
    for (auto const& record : counted.crash_records) {
        if (!record.cleared && now - record.at <= lifetime)
            records.push_back(&record);
    }
    std::ranges::sort(records, {}, &crash_record::at);
    return records;
}

std::size_t crash_suspects::count_separate_crashes(crash_records const& records) {
    std::set<std::string_view> targets;
    auto last_crash = base::time_point::min();
    for (auto const* record : records) {
        if (record->run_started + notice_delay >= last_crash && targets.insert(record->target).second)
            last_crash = record->at;
    }
    return targets.size();
}

bool crash_suspects::explains_better(suspect const& other, suspect const& judged, base::time_point now) const {
    auto const others_records = current_records(other, now);
    if (other.has_succeeded() || count_separate_crashes(others_records) < targets_to_refuse(other))
        return false;
    auto const crashes = current_records(judged, now).size();
    // Requests that have crashed the same targets are all refused, because none may crash a third one.
    bool const as_many_suffice = other.kind == content_kind::prompt_part;
    return judged.has_succeeded() || others_records.size() >= crashes + (as_many_suffice ? 0 : 1);
}

bool crash_suspects::explained_by_others(crash_record const& record, suspect const& judged,
                                         request_content const& content, base::time_point now) const {
    auto const held = [&content](std::uint64_t fingerprint) {
        return fingerprint == content.fingerprint ||
               std::ranges::find(content.parts, fingerprint, &prompt_part::fingerprint) != content.parts.end();
    };
    auto const in_crash = by_crash_.find(identity_of(record));
    return in_crash != by_crash_.end() && std::ranges::any_of(in_crash->second, [&](std::uint64_t fingerprint) {
               auto const* other = find(fingerprint);
               return other != nullptr && other != &judged && !held(fingerprint) &&
                      explains_better(*other, judged, now);
           });
}

std::optional<refusal> crash_suspects::judge(suspect const& judged, request_content const& content,
                                             base::time_point now) const {
    auto const needed = targets_to_refuse(judged);
    auto records = current_records(judged, now);
    // Few fingerprints have enough records, so the costly comparison with others is rare.
    if (count_separate_crashes(records) < needed)
        return std::nullopt;
    std::erase_if(records,
                  [&](crash_record const* record) { return explained_by_others(*record, judged, content, now); });
    auto const crashes = count_separate_crashes(records);
    if (crashes < needed)
        return std::nullopt;
    return refusal{judged.fingerprint, judged.kind, crashes, time_to_expiry(judged.fingerprint, now)};
}

std::optional<refusal> crash_suspects::find_refusal(request_content const& content, base::time_point now) const {
    if (suspects_.empty())
        return std::nullopt;
    auto const judge_fingerprint = [&](std::uint64_t fingerprint) {
        auto const* judged = find(fingerprint);
        return judged == nullptr ? std::nullopt : judge(*judged, content, now);
    };
    if (auto found = judge_fingerprint(content.fingerprint))
        return found;
    for (auto const& part : content.parts) {
        if (auto found = judge_fingerprint(part.fingerprint))
            return found;
    }
    return std::nullopt;
}

bool crash_suspects::refuses(std::uint64_t fingerprint, base::time_point now) const {
    return find_refusal({fingerprint, {}}, now).has_value();
}

bool crash_suspects::suspects(std::uint64_t fingerprint, base::time_point now) const {
    auto const* found = find(fingerprint);
    return found != nullptr && !current_records(*found, now).empty();
}

bool crash_suspects::suspects(request_content const& content, base::time_point now) const {
    return suspects(content.fingerprint, now) ||
           std::ranges::any_of(content.parts, [&](auto const& part) { return suspects(part.fingerprint, now); });
}

base::milliseconds crash_suspects::time_to_expiry(std::uint64_t fingerprint, base::time_point now) const {
    auto const found = by_fingerprint_.find(fingerprint);
    auto left = base::milliseconds{0};
    if (found == by_fingerprint_.end())
        return left;
    auto const& counted = *found->second;
    auto const lifetime = record_lifetime(counted.kind, counted.has_succeeded(), options_.crash_record_lifetime);
    for (auto const& record : counted.crash_records) {
        if (!record.cleared)
            left = std::max(left, std::chrono::duration_cast<base::milliseconds>(record.at + lifetime - now));
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
                                   std::chrono::duration_cast<base::milliseconds>(record.at - record.run_started),
                                   item.kind});
        }
    }
    return notices;
}

void crash_suspects::expire(base::time_point now) {
    while (!suspects_.empty() && expired(suspects_.front().newest, now))
        erase_oldest();
}

crash_suspects::suspect_list::iterator crash_suspects::find_or_insert(std::uint64_t fingerprint, base::time_point at) {
    if (auto const found = by_fingerprint_.find(fingerprint); found != by_fingerprint_.end())
        return found->second;
    suspect added;
    added.fingerprint = fingerprint;
    added.newest = at;
    suspects_.push_back(std::move(added));
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
    while (suspects_.size() > options_.maximum_fingerprints)
        erase_oldest();
}

void crash_suspects::remove_from_crash(crash_record const& record, std::uint64_t fingerprint) {
    auto const in_crash = by_crash_.find(identity_of(record));
    if (in_crash == by_crash_.end())
        return;
    std::erase(in_crash->second, fingerprint);
    if (in_crash->second.empty())
        by_crash_.erase(in_crash);
}

void crash_suspects::erase_oldest() {
    auto const& oldest = suspects_.front();
    for (auto const& record : oldest.crash_records)
        remove_from_crash(record, oldest.fingerprint);
    by_fingerprint_.erase(oldest.fingerprint);
    suspects_.pop_front();
}

} // namespace cyclamenledge::poison
