#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace cyclamenledge::forwarding {

/// When an entry issues itself permits at its own part of a rate.
enum class own_permits : std::uint8_t { while_issuer_is_unresponsive, always };

/// The permits of one entry to send requests to a target with a bounded rate, and what the entry knows of the agent
/// that issues them. An entry can also issue permits to itself, at a part of the rate that is safe without messages.
class permit_stock {
public:
    /// How long a permit may be used. A window of requests can hold the permits of this much more time.
    static constexpr base::milliseconds lifetime{500};
    /// Round trip to the furthest region. A permit counts its start from its arrival.
    static constexpr base::milliseconds round_trip{40};
    /// Allows for a few round trips.
    static constexpr base::milliseconds answer_timeout{150};
    /// Time between two requests to an issuer that does not answer.
    static constexpr base::milliseconds retry_interval{250};
    /// An issuer that has not answered for this time is unresponsive.
    static constexpr base::milliseconds unresponsive_after{1000};
    /// Entries that were refused at the same moment ask again at different times.
    static constexpr base::milliseconds retry_spread{100};

    bool usable(base::time_point now) const;
    /// Uses a permit for a request that is sent now. Returns false if there is none, and counts the request.
    bool spend(base::time_point now);
    /// Takes the permit of a request back that was not sent.
    void refund(base::time_point now);
    /// Returns the number of requests without a permit since the last call.
    std::uint32_t take_unpermitted();
    bool has_unpermitted() const { return unpermitted_ > 0; }

    /// Whether the issuer may be asked for permits.
    bool may_ask(base::time_point now) const;
    /// Returns the number of the request.
    std::uint64_t on_asked(base::time_point now);
    /// The issuer is not connected.
    void on_unreachable(base::time_point now);
    /// Applies the answer to the request with the number. Answers to earlier requests are dropped, because the time of
    /// their permits is unknown.
    void on_answer(std::uint64_t number, std::span<base::milliseconds const> starts_in, base::milliseconds available_in,
                   base::time_point now, base::random_source& random);
    /// Drops expired permits, notices requests without an answer and adds the entry's own permits.
    void update(double own_rate, own_permits use, base::time_point now, base::random_source& random);
    bool unresponsive(base::time_point now) const;

    /// Whether a permit may become usable without another request to the issuer.
    bool expects_permit(base::time_point now) const;
    /// When the next permit starts, the open request times out, or the issuer may be asked again.
    std::optional<base::time_point> next_change(base::time_point now) const;
    /// The earliest time at which the entry may have a permit.
    base::time_point available_at(base::time_point now) const;

private:
    struct permit {
        base::time_point from;
        base::time_point until;
    };

    std::vector<permit> permits_;
    std::uint32_t unpermitted_{0};
    std::uint64_t number_{0};
    std::optional<base::time_point> asked_at_;
    base::time_point ask_again_at_{};
    /// The first request since the last answer.
    std::optional<base::time_point> unanswered_since_;
    /// When the next permit of the entry's own starts.
    std::optional<base::time_point> next_own_;
};

} // namespace cyclamenledge::forwarding
