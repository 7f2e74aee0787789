#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::poison {

/// Report of a crash, as entries send it to each other.
struct crash_notice {
    std::uint64_t fingerprint{0};
    std::string target;
    /// The incarnation of the engine that crashed.
    std::uint64_t incarnation{0};
    /// Time from the crash to the sending of the notice. An age is sent because clocks of processes are not compared.
    base::milliseconds age{0};
    /// Time for which the request had run when the target crashed.
    base::milliseconds ran_for{0};
};

struct crash_suspects_options {
    base::seconds crash_record_lifetime{600};
    std::size_t maximum_fingerprints{10'000};
    std::size_t maximum_crash_records{16};
    std::size_t targets_to_refuse{2};
};

/// Fingerprints of requests that were running on targets when these crashed. Requests with crash records on enough
/// different targets, one run after the other, are refused: runs that overlap may share one cause, such as the loss of
/// a failure domain, and many callers may send the same harmless request. When the table is full, the fingerprint with
/// the least recent event is evicted.
class crash_suspects {
public:
    explicit crash_suspects(crash_suspects_options options = {});

    /// Merges a crash that this process detected or a peer reported. Returns whether the crash was new; the caller then
    /// sends it to the peers. A crash is new only once, however often and late its notice arrives. While no bound is
    /// reached, the state does not depend on the order or repetition of notices.
    bool on_crash(crash_notice const& notice, base::time_point now);
    /// Clears the crash records of a fingerprint that ran to completion. Earlier crashes no longer count, even if a
    /// peer reports them again. Returns whether there were any; the caller then tells the peers.
    bool on_success(std::uint64_t fingerprint, base::time_point now);
    /// Merges a success that a peer reported, also when it arrives before the crashes that it clears. Returns whether
    /// it cleared any.
    bool on_peer_success(std::uint64_t fingerprint, base::milliseconds age, base::time_point now);
    /// Whether the fingerprint has a crash record.
    bool suspects(std::uint64_t fingerprint, base::time_point now) const;
    /// Whether requests with the fingerprint are refused.
    bool refuses(std::uint64_t fingerprint, base::time_point now) const;
    /// Time until the fingerprint's newest crash record expires. Zero without one.
    base::milliseconds time_to_expiry(std::uint64_t fingerprint, base::time_point now) const;
    /// Returns all current crash records, to be sent to a peer that connects.
    std::vector<crash_notice> notices(base::time_point now) const;
    void expire(base::time_point now);
    std::size_t size() const { return suspects_.size(); }

private:
    struct crash_record {
        std::string target;
        std::uint64_t incarnation{0};
        base::time_point at{};
        base::time_point run_started{};
        /// The fingerprint ran to completion since. The record is kept, so that a late copy of its notice is not taken
        /// for a new crash and passed on again.
        bool cleared{false};
    };
    struct suspect {
        std::uint64_t fingerprint{0};
        std::vector<crash_record> crash_records;
        base::time_point newest{};
        /// Crashes up to this time were cleared by a success.
        base::time_point cleared{base::time_point::min()};
    };
    using suspect_list = std::list<suspect>;

    bool expired(base::time_point at, base::time_point now) const { return now - at > options_.crash_record_lifetime; }
    /// Number of runs that crashed their target, counting only one of those that overlap.
    std::size_t count_separate_crashes(suspect const& counted, base::time_point now) const;
    /// Returns whether there were crash records up to that time.
    static bool clear(suspect& cleared, base::time_point at);
    suspect_list::iterator find_or_insert(std::uint64_t fingerprint, base::time_point at);
    /// Sets the time of the newest event and moves the element to its position in the list.
    void update_newest(suspect_list::iterator updated, base::time_point at);
    void evict_oldest();

    crash_suspects_options options_;
    /// Sorted by the time of the newest event, oldest first.
    suspect_list suspects_;
    std::unordered_map<std::uint64_t, suspect_list::iterator> by_fingerprint_;
};

} // namespace cyclamenledge::poison
