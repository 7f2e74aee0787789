#include "once/call_tracker.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::once {

call_tracker::call_tracker(call_tracker_options options)
    : options_(options) {}

bool call_tracker::on_sent(std::string scoped, std::string target, std::uint64_t incarnation,
                           std::uint64_t body_fingerprint, base::time_point now) {
    if (auto const found = by_key_.find(scoped); found != by_key_.end()) {
        auto const position = found->second;
        // A final outcome of a key does not change when the key is sent again.
        if (!is_final(*position)) {
            position->outcome = key_state::running;
            position->target = std::move(target);
            position->incarnation = incarnation;
            position->body_fingerprint = body_fingerprint;
        }
        position->sent = now;
        keys_.splice(keys_.end(), keys_, position);
        return true;
    }
    if (keys_.size() >= options_.maximum_keys && !evict_settled())
        return false;
    keys_.push_back(
        {std::move(scoped), std::move(target), incarnation, body_fingerprint, key_state::running, false, {}, now});
    by_key_.emplace(keys_.back().scoped, std::prev(keys_.end()));
    return true;
}

bool call_tracker::on_outcome(std::string_view scoped, std::string_view target, std::uint64_t incarnation,
                              std::uint64_t body_fingerprint, key_state outcome, call_answer answer) {
    auto const found = by_key_.find(scoped);
    if (found == by_key_.end())
        return false;
    auto& key = *found->second;
    if (key.target != target || key.incarnation != incarnation)
        return false;
    if (is_final(key))
        return key.outcome == outcome;
    key.outcome = outcome;
    key.body_fingerprint = body_fingerprint;
    key.answer_dropped = answer_bytes_ + answer.body.size() > options_.maximum_answer_bytes;
    if (!key.answer_dropped) {
        answer_bytes_ += answer.body.size();
        key.answer = std::move(answer);
    }
    return true;
}

lost_answer_action call_tracker::action_after_lost_answer(std::string_view scoped, std::uint64_t body_fingerprint,
                                                          target_link contact, base::time_point deadline,
                                                          base::time_point now) const {
    if (answer_of(scoped, body_fingerprint) != nullptr)
        return lost_answer_action::answer;
    if (now >= deadline)
        return lost_answer_action::outcome_unknown;
    return contact.reachable ? lost_answer_action::query : lost_answer_action::wait;
}

call_answer const* call_tracker::answer_of(std::string_view scoped, std::uint64_t body_fingerprint) const {
    auto const found = by_key_.find(scoped);
    if (found == by_key_.end())
        return nullptr;
    auto const& key = *found->second;
    bool const usable =
        key.outcome == key_state::done && !key.answer_dropped && key.body_fingerprint == body_fingerprint;
    return usable ? &key.answer : nullptr;
}

std::vector<remembered_key> call_tracker::remembered_keys(std::string_view target, std::uint64_t incarnation) const {
    std::vector<remembered_key> remembered;
    for (auto const& key : keys_) {
        if (key.target != target || key.incarnation == incarnation)
            continue;
        bool const settled =
            key.outcome == key_state::sealed || (key.outcome == key_state::done && !key.answer_dropped);
        remembered.push_back(
            {key.scoped, key.body_fingerprint, settled ? key.outcome : key_state::unknown, key.answer});
    }
    return remembered;
}

void call_tracker::expire(base::time_point now) {
    auto const retention = options_.limits.key_lifetime + options_.limits.creation_margin();
    while (!keys_.empty() && now - keys_.front().sent > retention)
        erase_key(keys_.begin());
}

void call_tracker::erase_key(sent_list::iterator position) {
    if (!position->answer_dropped)
        answer_bytes_ -= position->answer.body.size();
    by_key_.erase(position->scoped);
    keys_.erase(position);
}

bool call_tracker::evict_settled() {
    auto const position =
        std::find_if(keys_.begin(), keys_.end(), [](auto const& key) { return key.outcome != key_state::running; });
    if (position == keys_.end())
        return false;
    erase_key(position);
    return true;
}

} // namespace cyclamenledge::once
