#pragma once

#include "base/time.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace cyclamenledge::soak {

/// Holds what targets get after the notices in their answers against the promises: nothing new after a target has said
/// that it leaves, and next to nothing in the time for which it wants nothing. An entry sends its callers' requests to
/// targets itself, so a request's entry is the one that its caller used.
class notice_ledger {
public:
    void assign_entry(std::string const& request, std::string const& entry, base::time_point now);
    /// The caller has received an answer, so the entry has passed on what the target said in it.
    void on_answer(std::string const& request, base::time_point now);
    void on_leaving_said(std::string const& request, std::string const& target) { said_leaving_[request] = target; }
    void on_turned_away(std::string const& request, std::string const& target, base::time_point now,
                        base::time_point until);
    /// The entry was restarted or frozen, which excuses what it does not know.
    void forget_entry(std::string const& entry);
    /// A request has reached a target. Returns the promise that was broken. Entries that were not undisturbed since the
    /// given time may have missed that they were turned away.
    std::optional<std::string> on_arrival(std::string const& request, std::string const& target, base::time_point now,
                                          base::time_point calm_from);
    /// Requests that have reached the target.
    std::size_t arrivals(std::string const& target) const;
    /// Requests that have reached the target and that callers sent after the entry had passed on that it leaves.
    std::size_t arrivals_after_leaving(std::string const& target) const;

private:
    struct sent_call {
        std::string entry;
        base::time_point began;
        std::uint64_t entry_life{0};
    };
    struct turned_away {
        base::time_point answered_at;
        base::time_point until;
        std::uint32_t arrivals{0};
    };
    /// An entry and a target.
    using pair = std::pair<std::string, std::string>;

    std::map<std::string, sent_call> calls_;
    /// The target that said in its answer to a request that it leaves.
    std::map<std::string, std::string> said_leaving_;
    std::map<pair, base::time_point> told_leaving_;
    std::map<pair, std::deque<turned_away>> turned_away_;
    std::map<std::string, std::uint64_t> entry_lives_;
    std::map<std::string, std::size_t> arrivals_;
    std::map<std::string, std::size_t> arrivals_after_leaving_;
};

} // namespace cyclamenledge::soak
