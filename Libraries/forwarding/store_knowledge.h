#pragma once

#include "base/time.h"

#include <optional>

namespace cyclamenledge::forwarding {

/// How recently a process knows the state of a part of the metadata store, whether it has read the store itself or a
/// relay has. Every decision on that rests on the time for which the state is confirmed, so that none depends on who
/// reads or on which calls have failed.
class store_knowledge {
public:
    /// A process that follows relays reads the store itself once the state was not confirmed for this long.
    /// Configurations and removals of targets have to be applied within 2.5 s; the rest is left for the read.
    static constexpr base::milliseconds maximum_relayed_age{1900};
    /// Longest time for which the store may hold a watch. The state of a store relay that hears of no changes is
    /// confirmed this often, so the time that the followers allow must be well above it.
    static constexpr base::milliseconds watch_period{1000};
    static constexpr base::milliseconds shortest_watch{50};
    /// Targets announce themselves every 1.2 s, and the store removes an announcement after three intervals. Without
    /// one that arrived shortly before, it takes two intervals of an outage.
    static constexpr base::milliseconds shortest_expiry{2400};
    /// Targets whose announcements expired during an outage announce themselves again within about two seconds of its
    /// end.
    static constexpr base::milliseconds announcement_return{2500};

    /// The known state was the store's newest one at the given time. Has no effect if a later time is confirmed.
    void confirm(base::time_point at);
    /// No value before the part was read.
    std::optional<base::time_point> const& confirmed_at() const { return confirmed_at_; }
    /// Whether the store need not be read because a relay has confirmed the state at the given time.
    static bool is_recent(base::time_point confirmed_at, base::time_point now) {
        return now < confirmed_at + maximum_relayed_age;
    }
    /// Time for which the next watch may wait for changes.
    base::milliseconds watch_wait(base::time_point now) const;
    /// Whether a removal that is learnt now may be that of a running target, whose announcement expired while the store
    /// was unreachable.
    bool removals_in_doubt(base::time_point now) const;

    /// When a watch without changes confirms the state: the store answered it after the wait, and the answer may have
    /// been under way for any time since.
    static base::time_point unchanged_at(base::time_point sent_at, base::milliseconds wait,
                                         base::time_point received_at);

private:
    std::optional<base::time_point> confirmed_at_;
    /// After the end of the latest outage that may have expired announcements.
    base::time_point doubt_until_{};
};

} // namespace cyclamenledge::forwarding
