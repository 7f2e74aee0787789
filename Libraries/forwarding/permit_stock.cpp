#include "forwarding/permit_stock.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::forwarding {

bool permit_stock::usable(base::time_point now) const {
    return std::ranges::any_of(permits_, [now](permit const& held) { return held.from <= now && now < held.until; });
}

bool permit_stock::spend(base::time_point now) {
    auto best = permits_.end();
    for (auto held = permits_.begin(); held != permits_.end(); ++held) {
        if (held->from <= now && now < held->until && (best == permits_.end() || held->until < best->until))
            best = held;
    }
    if (best == permits_.end()) {
        ++unpermitted_;
        return false;
    }
    permits_.erase(best);
    return true;
}

void permit_stock::refund(base::time_point now) {
    if (unpermitted_ > 0)
        --unpermitted_;
    else
        permits_.push_back({now, now + lifetime});
}

std::uint32_t permit_stock::take_unpermitted() {
    return std::exchange(unpermitted_, 0);
}

bool permit_stock::may_ask(base::time_point now) const {
    return !asked_at_ && now >= ask_again_at_;
}

std::uint64_t permit_stock::on_asked(base::time_point now) {
    asked_at_ = now;
    return ++number_;
}

void permit_stock::on_unreachable(base::time_point now) {
    asked_at_.reset();
    ask_again_at_ = now + retry_interval;
    if (!unanswered_since_)
        unanswered_since_ = now;
}

void permit_stock::on_answer(std::uint64_t number, std::span<base::milliseconds const> starts_in,
                             base::milliseconds available_in, base::time_point now, base::random_source& random) {
    if (number != number_ || !asked_at_)
        return;
    asked_at_.reset();
    unanswered_since_.reset();
    next_own_.reset();
    for (auto const start : starts_in)
        permits_.push_back({now + start, now + start + lifetime});
    ask_again_at_ = now;
    if (starts_in.empty())
        ask_again_at_ += available_in + std::chrono::duration_cast<base::milliseconds>(random.unit() * retry_spread);
}

void permit_stock::update(double own_rate, own_permits use, base::time_point now, base::random_source& random) {
    std::erase_if(permits_, [now](permit const& held) { return now >= held.until; });
    if (asked_at_ && now - *asked_at_ >= answer_timeout) {
        unanswered_since_ = unanswered_since_.value_or(*asked_at_);
        ask_again_at_ = *asked_at_ + retry_interval;
        asked_at_.reset();
    }
    if (own_rate <= 0 || (use == own_permits::while_issuer_is_unresponsive && !unresponsive(now)))
        return;
    auto const interval = std::chrono::duration_cast<base::duration>(std::chrono::duration<double>{1 / own_rate});
    // Entries begin at the same time, for example when they lose the same issuer, so each chooses another moment of the
    // interval.
    if (!next_own_)
        next_own_ = now + std::chrono::duration_cast<base::duration>(random.unit() * interval);
    if (now - *next_own_ > lifetime)
        *next_own_ += (now - lifetime - *next_own_) / interval * interval;
    for (; *next_own_ <= now; *next_own_ += interval) {
        if (now - *next_own_ < lifetime)
            permits_.push_back({*next_own_, *next_own_ + lifetime});
    }
}

bool permit_stock::unresponsive(base::time_point now) const {
    return unanswered_since_ && now - *unanswered_since_ >= unresponsive_after;
}

bool permit_stock::expects_permit(base::time_point now) const {
    return asked_at_ || std::ranges::any_of(permits_, [now](permit const& held) { return held.from > now; });
}

std::optional<base::time_point> permit_stock::next_change(base::time_point now) const {
    std::optional<base::time_point> next;
    if (asked_at_)
        next = *asked_at_ + answer_timeout;
    else if (ask_again_at_ > now)
        next = ask_again_at_;
    for (auto const& held : permits_) {
        if (held.from > now && (!next || held.from < *next))
            next = held.from;
    }
    return next;
}

base::time_point permit_stock::available_at(base::time_point now) const {
    if (next_own_ && unresponsive(now))
        return std::max(now, *next_own_);
    return next_change(now).value_or(now);
}

} // namespace cyclamenledge::forwarding
