#pragma once

#include "catalogue/catalogue.h"
#include "limits/credit.h"

#include <boost/container/static_vector.hpp>

#include <bitset>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::limits {

/// Whether a request is offered for the first time or again after a wait. Only the first time counts as demand.
enum class offer_kind : std::uint8_t { first, again };

enum class limit_action : std::uint8_t {
    admit,
    /// Offer again after the next grant for the organisation or at the stated time.
    wait,
    /// Answer with organisation_limit and the stated time.
    refuse,
};

struct limit_decision {
    limit_action action{limit_action::refuse};
    base::duration retry_after{};
    /// To be sent to the home entry.
    std::optional<credit_request> ask;
};

/// The entry side of the organisation limits.
///
/// Overshoot. Let W be any time span and H the number of entries that act as home of an organisation during
/// W and the lease before it: one, or more while entries hold different lists of published entries. Over all entries,
/// the requests admitted in W are at most
///     limit x (W + 2 s) x H + 0.1 x limit x (W + 2 s)
/// The first 2 s are one lease period: 1.5 s of unspent credit and 0.5 s saved by the issuer. For limits below
/// 2 requests/s the saved part is one request, and an entry saves at least one request of its fall-back share. The
/// limit of a branch includes its stretch. Admitted streams are not cut, so tokens of streams that run when the credit
/// ends come on top; they are paid from the next credit. Concurrent requests are at most limit x H + 0.1 x limit plus
/// the requests that run at entries whose lease has lapsed.
///
/// While the home entry is dead, the fall-back share stays in use until the operators publish a list of entries without
/// it. No other entry takes over on its own observation: entries would disagree about who is dead during a partition,
/// and each further home would add the whole limit to the bound above.
class organisation_limiter {
public:
    organisation_limiter(std::string entry, catalogue::catalogue_pointer published);

    void set_catalogue(catalogue::catalogue_pointer published);
    limit_decision admit(std::string_view organisation, offer_kind offer, base::time_point now);
    void on_tokens(std::string_view organisation, std::uint64_t count, base::time_point now);
    void on_end(std::string_view organisation, base::time_point now);
    void on_grant(credit_grant const& grant, base::time_point now);
    /// Renewals that are due. Called about every 100 ms. Visits only organisations with recent demand.
    std::vector<credit_request> poll(base::time_point now);
    std::size_t state_count() const { return states_.size(); }
    /// For tests only.
    void leave_out(mechanism part) { left_out_.set(static_cast<std::size_t>(part)); }

    /// 14,000 organisations (4.5 MiB) with room for change (6.3 MiB).
    static constexpr std::size_t maximum_states = 20000;
    /// A home entry that does not answer within this time is treated as lost.
    static constexpr base::milliseconds answer_timeout{500};
    static constexpr base::seconds idle_lifetime{60};

private:
    struct batch {
        base::time_point until;
        rate_amounts left;
    };
    struct state {
        catalogue::organisation const* published{nullptr};
        boost::container::static_vector<batch, 5> batches;
        /// Tokens of admitted streams beyond the credit.
        double token_debt{0};
        std::uint32_t running{0};
        std::uint32_t slots{0};
        base::time_point slots_until{};

        rate_amounts arrived;
        rate_amounts demand_per_second;
        std::uint32_t waiting{0};
        std::uint64_t sequence{0};
        bool asking{false};
        /// The home entry has not answered; the fall-back share is in use until it does.
        bool silent{false};
        bool short_of_credit{false};
        double wanted_requests{0};
        std::uint32_t wanted_slots{0};
        base::time_point asked_at{};
        base::time_point used_at{};
        /// Fall-back share that has accrued since the home entry became silent.
        rate_amounts fallback;
        base::time_point fallback_at{};
        /// Whether poll() visits it.
        bool listed{false};
    };

    bool enabled(mechanism part) const { return !left_out_.test(static_cast<std::size_t>(part)); }
    state* find(std::string_view organisation, base::time_point now);
    void list(state& item);
    void drop_expired(state& item, base::time_point now) const;
    bool take_credit(state& item, base::time_point now);
    static void note_silence(state& item, base::time_point now);
    bool take_fallback(state& item, base::time_point now);
    void accrue_fallback(state& item, base::time_point now) const;
    std::uint32_t fallback_slots(state const& item) const;
    rate_amounts unspent(state const& item) const;
    credit_request ask(state& item, base::time_point now);
    /// Earliest time at which the rates leave room for a request.
    base::duration time_to_come_back(state const& item, base::duration least) const;
    void drop_idle(base::time_point now);

    std::string entry_;
    catalogue::catalogue_pointer catalogue_;
    /// Position of this entry among the published ones; their number when it is not published.
    std::size_t position_{0};
    std::uint64_t next_sequence_{1};
    base::time_point dropped_idle_at_{};
    std::unordered_map<std::string_view, state> states_;
    /// States with recent demand.
    std::vector<state*> recent_;
    std::bitset<static_cast<std::size_t>(mechanism::count)> left_out_;
};

} // namespace cyclamenledge::limits
