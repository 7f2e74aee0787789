#pragma once

#include "base/result.h"
#include "catalogue/catalogue.h"
#include "limits/credit.h"
#include "limits/rate_bucket.h"

#include <boost/container/static_vector.hpp>

#include <bitset>
#include <string>
#include <unordered_map>

namespace cyclamenledge::limits {

/// Issues the credit of the organisations for which this process is the home entry. Grants are in proportion to the
/// demand of the entries.
///
/// A branch is granted its own limit. Beyond that it is granted up to own limit x stretch of the part of the head
/// office's total that the other members do not use. Branches that exceed their own limits share that unused part in
/// proportion to their own limits. Own limits are granted even when their sum exceeds the total.
///
/// In any time span W an issuer grants at most limit x (W + 0.5 s), or limit x W + 1 request for limits below 2 per
/// second. Slots for concurrent requests are granted up to the limit. For one lease after a start or a change of the
/// published entries, the issuer only confirms slots that entries already hold, because it does not know the slots of
/// the other entries. If only one entry is published, it grants new slots immediately.
class credit_issuer {
public:
    credit_issuer(std::string entry, catalogue::catalogue_pointer published, base::time_point now);

    void set_catalogue(catalogue::catalogue_pointer published, base::time_point now);
    /// Grants credit. Fails with not_owner if another entry is the home entry, with not_found if the organisation is
    /// not published, and with overloaded if maximum_holders is reached.
    base::result<credit_grant> request(credit_request const& request, base::time_point now);
    /// Removes holders whose leases have expired, and groups without holders. request() calls it once per lease.
    void expire(base::time_point now);
    std::size_t holder_count() const { return holder_count_; }
    /// For tests only.
    void disable(mechanism disabled) { disabled_.set(static_cast<std::size_t>(disabled)); }

    /// Bound on the entries that hold credit, summed over all organisations. A home entry has 42 of 14,000
    /// organisations on average, with up to 330 holders each. The bound takes 7 MiB at 330 holders per organisation,
    /// and 12 MiB for 14,000 organisations with one holder each.
    static constexpr std::size_t maximum_holders = 32768;

private:
    struct slot_lease {
        base::time_point expires_at{};
        std::uint32_t slots{0};
    };
    struct holder {
        base::time_point requested_at{};
        /// Per resource, the time from which the holder's share has not been granted yet.
        std::array<base::time_point, 2> share_from{};
        rate_amounts demand;
        std::uint32_t concurrent{0};
        std::uint32_t leased_slots{0};
        boost::container::static_vector<slot_lease, 6> leases;
    };
    struct rate_state {
        rate_bucket own;
        rate_bucket stretch;
    };
    struct member {
        explicit member(base::time_point now)
            : rates{{{rate_bucket{now}, rate_bucket{now}}, {rate_bucket{now}, rate_bucket{now}}}}
            , refreshed_at(now) {}

        catalogue::organisation const* published{nullptr};
        std::array<rate_state, 2> rates;
        rate_amounts demand;
        std::uint64_t concurrent{0};
        std::uint64_t leased_slots{0};
        base::time_point refreshed_at;
        std::unordered_map<std::string, holder> holders;
    };
    struct organisation_group {
        /// Whether this process is the home entry. Cached, because home_entry() computes a hash per published entry.
        bool is_home{false};
        explicit organisation_group(base::time_point now)
            : total{{rate_bucket{now}, rate_bucket{now}}} {}

        std::array<rate_bucket, 2> total;
        std::unordered_map<std::string, member> members;
    };

    bool enabled(mechanism tested) const { return !disabled_.test(static_cast<std::size_t>(tested)); }
    organisation_group* find_group(catalogue::organisation const& published, base::time_point now);
    base::time_point accrual_start(base::time_point now) const;
    void refresh(member& item, base::time_point now);
    static void count_leased_slots(holder& item, base::time_point now);
    double unused_share(organisation_group const& group, member const& item, double limit_total,
                        double (*limit)(catalogue::organisation const&), double (*demand)(member const&)) const;
    double grant_rate(organisation_group& group, member& item, holder& requester, std::size_t resource,
                      double requested, base::time_point now);
    static double limit_to_share(member const& item, holder& requester, std::size_t resource, double capacity,
                                 double granted, base::time_point now);
    std::uint32_t grant_slots(organisation_group& group, member& item, holder& requester, credit_request const& request,
                              base::time_point now);

    std::string entry_;
    catalogue::catalogue_pointer catalogue_;
    base::time_point confirm_only_until_;
    base::time_point last_expiry_;
    std::size_t holder_count_{0};
    std::unordered_map<std::string, organisation_group> groups_;
    std::bitset<static_cast<std::size_t>(mechanism::count)> disabled_;
};

} // namespace cyclamenledge::limits
