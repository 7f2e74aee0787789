#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::poison {

/// One crash as entries tell it to each other.
struct crash_notice {
    std::uint64_t fingerprint{0};
    std::string target;
    /// The incarnation of the engine that crashed.
    std::uint64_t incarnation{0};
    /// Age at the time of sending. Clocks are not compared between processes.
    base::milliseconds age{0};
};

struct crash_suspects_options {
    base::seconds strike_lifetime{600};
    std::size_t maximum_fingerprints{10'000};
    std::size_t maximum_strikes{4};
    std::size_t strikes_to_refuse{2};
};

/// Fingerprints of requests that ran on targets that crashed. Requests with strikes on enough different targets are
/// refused. At the bound, the fingerprint whose newest strike is oldest is evicted.
class crash_suspects {
public:
    explicit crash_suspects(crash_suspects_options options = {});

    /// Merges a crash that was seen here or told by a peer. Returns whether it was new, in which case it is to be told
    /// to the peers. Below the bounds, the same crashes in any
    /// order and number give the same state.
    bool on_crash(crash_notice const& notice, base::time_point now);
    /// The fingerprint ran to its end. Crashes before that no longer count, also when a peer tells them again.
    void on_success(std::uint64_t fingerprint, base::time_point now);
    bool refuses(std::uint64_t fingerprint, base::time_point now) const;
    /// Everything that a peer should know when it connects.
    std::vector<crash_notice> notices(base::time_point now) const;
    void expire(base::time_point now);
    std::size_t size() const { return suspects_.size(); }

private:
    struct strike {
        std::string target;
        std::uint64_t incarnation{0};
        base::time_point at{};
    };
    struct suspect {
        std::uint64_t fingerprint{0};
        std::vector<strike> strikes;
        base::time_point newest{};
        /// Strikes up to this time were cleared by a success.
        base::time_point cleared{base::time_point::min()};
    };
    using suspect_list = std::list<suspect>;

    bool expired(base::time_point at, base::time_point now) const { return now - at > options_.strike_lifetime; }
    suspect_list::iterator place_for(std::uint64_t fingerprint, base::time_point at);
    void touch(suspect_list::iterator place, base::time_point at);
    void bound();

    crash_suspects_options options_;
    /// In ascending order of the newest event.
    suspect_list suspects_;
    std::unordered_map<std::uint64_t, suspect_list::iterator> by_fingerprint_;
};

} // namespace cyclamenledge::poison
