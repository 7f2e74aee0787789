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

/// Whether a request is offered for the first time or again after it was queued. Only the first offer counts as demand.
enum class offer_kind : std::uint8_t { first, retry };

enum class limit_action : std::uint8_t {
    admit,
    /// Queue the request and offer it again after the next grant for the organisation or after `retry_after`.
    wait,
    /// Answer with organisation_limit and `retry_after`.
    refuse,
};

struct limit_decision {
    limit_action action{limit_action::refuse};
    base::duration retry_after{};
    /// A request for credit that the caller must send to the home entry.
    std::optional<credit_request> request;
};

/// Admits requests of organisations at an entry against the credit that their home entries have granted.
///
/// Overshoot. Let W be any time span and H the number of entries that act as home of an organisation during
/// W and the lease before it: one, or more while entries use different lists of published entries. Over all entries,
/// the requests admitted in W are at most
///     limit x (W + 2 s) x H + 0.1 x limit x (W + 2 s)
/// The first 2 s are one lease: 1.5 s of unspent credit and 0.5 s accrued at the issuer. For limits below 2 requests/s
/// the accrued part is one request, and the fall-back share of an entry accrues up to at least one request. The limit
/// of a branch includes its stretch. Admitted streams are not aborted, so the tokens of streams that run when the
/// credit ends are added to the bound; they are paid from the next credit. Concurrent requests are at most
/// limit x H + 0.1 x limit plus the requests that run at entries whose lease has expired.
///
/// While the home entry is unresponsive, the fall-back share is used until the operators publish a list of entries
/// without it. No other entry takes over by its own decision: during a partition the entries would disagree about which
/// entries have failed, and each further home entry would add the whole limit to the bound above.
class organisation_limiter {
public:
    organisation_limiter(std::string entry, catalogue::catalogue_pointer published);

    void set_catalogue(catalogue::catalogue_pointer published);
    limit_decision admit(std::string_view organisation, offer_kind offer, base::time_point now);
    void on_tokens(std::string_view organisation, std::uint64_t count, base::time_point now);
    void on_end(std::string_view organisation, base::time_point now);
    void on_grant(credit_grant const& grant, base::time_point now);
    /// Returns the requests for credit that must be sent now. Called about every 100 ms. Visits only organisations with
    /// recent demand.
    std::vector<credit_request> poll(base::time_point now);
    std::size_t state_count() const { return states_.size(); }
    /// For tests only.
    void disable(mechanism disabled) { disabled_.set(static_cast<std::size_t>(disabled)); }

    /// Enough for 14,000 organisations (4.5 MiB) and growth (6.3 MiB at the bound).
    static constexpr std::size_t maximum_states = 20000;
    /// A home entry that does not answer within this time is treated as unresponsive.
    static constexpr base::milliseconds answer_timeout{500};
    static constexpr base::seconds idle_lifetime{60};

private:
    struct credit_batch {
        base::time_point expires_at;
        rate_amounts unspent;
    };
    struct organisation_state {
        catalogue::organisation const* published{nullptr};
        boost::container::static_vector<credit_batch, 5> batches;
        /// Tokens that admitted streams used beyond the credit. Paid from the next grant.
        double token_debt{0};
        std::uint32_t running{0};
        std::uint32_t slots{0};
        base::time_point slots_expire_at{};

        rate_amounts arrived;
        rate_amounts demand_per_second;
        std::uint32_t queued{0};
        std::uint64_t sequence{0};
        bool request_pending{false};
        /// Whether the latest request timed out. The fall-back share is used until the home entry answers.
        bool home_unresponsive{false};
        bool short_of_credit{false};
        double requested_request_credit{0};
        std::uint32_t needed_slots{0};
        base::time_point requested_at{};
        base::time_point last_used_at{};
        /// Fall-back share that has accrued since the home entry became unresponsive.
        rate_amounts fallback;
        base::time_point fallback_at{};
        /// Whether the state is in recent_ and is visited by poll().
        bool is_recent{false};
    };

    bool enabled(mechanism tested) const { return !disabled_.test(static_cast<std::size_t>(tested)); }
    organisation_state* find(std::string_view organisation, base::time_point now);
    void add_to_recent(organisation_state& item);
    void remove_expired(organisation_state& item, base::time_point now) const;
    bool spend_credit(organisation_state& item, base::time_point now);
    static void check_home_timeout(organisation_state& item, base::time_point now);
    bool spend_fallback(organisation_state& item, base::time_point now);
    void accrue_fallback(organisation_state& item, base::time_point now) const;
    std::uint32_t fallback_slots(organisation_state const& item) const;
    rate_amounts unspent_credit(organisation_state const& item) const;
    credit_request make_request(organisation_state& item, base::time_point now);
    /// Estimates the time after which the limits allow another request; at least `least`.
    base::duration retry_delay(organisation_state const& item, base::duration minimum) const;
    void remove_idle(base::time_point now);

    std::string entry_;
    catalogue::catalogue_pointer catalogue_;
    /// Index of this entry in the list of published entries, or the size of the list if it is not published.
    std::size_t entry_index_{0};
    std::uint64_t next_sequence_{1};
    base::time_point last_idle_check_{};
    std::unordered_map<std::string_view, organisation_state> states_;
    /// States with recent demand.
    std::vector<organisation_state*> recent_;
    std::bitset<static_cast<std::size_t>(mechanism::count)> disabled_;
};

} // namespace cyclamenledge::limits
