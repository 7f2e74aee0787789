#pragma once

#include "base/time.h"
#include "forwarding/target_limit.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::forwarding {

/// One incarnation of a target.
struct target_incarnation {
    std::string id;
    /// Unix time of the target's start in milliseconds.
    std::int64_t started_at{0};
};

/// An entry's request for permits.
struct permit_request {
    target_incarnation target;
    std::uint32_t wanted{0};
    /// How far ahead the permits may start.
    base::milliseconds within{};
    /// Requests a second that all entries together may send, as far as the entry knows.
    double per_second{0};
    /// Requests that the entry has sent without a permit.
    std::uint32_t unpermitted{0};
};

struct permit_answer {
    /// Time until each permit may be used.
    std::vector<base::milliseconds> starts_in;
    /// Time until another permit starts soon enough.
    base::milliseconds available_in{};
};

/// Issues the permits to send requests to targets with a bounded rate. Permits of a target start one interval of the
/// rate apart, and time that nobody asks for is not made up for, so that all entries together keep the rate.
class permit_issuer {
public:
    static constexpr std::uint32_t most_permits = 16;
    /// Permits start at most this far ahead. A new issuer waits as long, because the one before it may have issued
    /// them.
    static constexpr base::milliseconds horizon{250};
    /// Requests without a permit delay later permits up to this time.
    static constexpr base::seconds longest_delay{4};
    /// A target that takes nothing gets this rate all the same, because only its answers show the end of its limit.
    static constexpr double lowest_rate = 0.25;
    /// Relative change of a limit that entries are told of at once. Answers to their requests bring smaller ones.
    static constexpr double significant_change = 0.05;
    /// How long an unused target is remembered.
    static constexpr base::seconds retention{60};

    permit_answer answer(permit_request const& request, base::time_point now);
    /// Applies what an entry has observed. Returns whether the other entries have to be told.
    bool observe(target_incarnation const& target, limit_observation const& seen, base::time_point now);
    /// What is known of the target's limit.
    limit_observation find_limit(std::string_view target) const;
    struct known_limit {
        target_incarnation target;
        limit_observation limit;
    };
    /// The targets that have a limit.
    std::vector<known_limit> limits() const;
    void expire(base::time_point now);
    std::size_t size() const { return targets_.size(); }

private:
    struct issued_target {
        std::int64_t started_at{0};
        target_limit limit;
        /// The limit that entries were told last, or zero for none.
        double told{0};
        base::time_point next_start;
        base::time_point used_at;
    };

    /// Null for an earlier incarnation than the known one.
    issued_target* find_or_add(target_incarnation const& target, base::time_point now);

    std::map<std::string, issued_target, std::less<>> targets_;
};

/// The part of a limit that permits are issued for. The rest is left to requests without a permit, such as streams that
/// go on at another engine.
inline constexpr double issued_limit_share = 0.95;

} // namespace cyclamenledge::forwarding
