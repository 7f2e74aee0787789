#pragma once

#include "base/time.h"

#include <optional>

namespace cyclamenledge::forwarding {

/// What the answers of a target last said about the requests that it takes.
struct limit_observation {
    /// Requests a second from all entries together. No value when the target names no limit.
    std::optional<double> per_second;
    /// When the answer that said so arrived, at whichever process received it.
    base::time_point observed_at{};
};

/// The limit on requests a second that a target names in its answers, as far as this process knows. Observations of
/// other processes are merged by their age.
class target_limit {
public:
    /// A limit ends with an answer without one, but not within this time of an answer with one: answers overtake each
    /// other, and a target may name its limit only when it refuses a request.
    static constexpr base::seconds hold_time{4};
    /// The same limit observed within this time is not news. Ages grow inexact with each transfer, and an old
    /// observation must not become younger by going back and forth.
    static constexpr base::milliseconds age_tolerance{250};

    /// Applies an answer of the target. Returns whether the limit has changed.
    bool on_answer(std::optional<double> named, base::time_point now);
    /// Applies what another process has observed. Returns whether the limit has changed.
    bool merge(limit_observation const& other);
    std::optional<double> const& per_second() const { return latest_.per_second; }
    limit_observation const& latest() const { return latest_; }

private:
    limit_observation latest_;
};

} // namespace cyclamenledge::forwarding
