#pragma once

#include "base/result.h"
#include "catalogue/catalogue.h"
#include "limits/accrual.h"
#include "limits/credit.h"

#include <boost/container/static_vector.hpp>

#include <bitset>
#include <string>
#include <unordered_map>

namespace cyclamenledge::limits {

/// The home-entry side of the organisation limits. Grants are in proportion to the demand of the entries.
///
/// A branch accrues its own limit, and beyond it up to own limit x stretch from what the other members of its head
/// office leave of the head office's total. Branches that stretch share that rest in proportion to their own limits.
/// Own limits are granted even when they exceed the total.
///
/// What an issuer grants in any time W is at most limit x (W + 0.5 s), or limit x W + 1 request for limits below 2 per
/// second. Slots for concurrent requests are granted up to the limit; after a start or a change of the published
/// entries the issuer only confirms held slots for one lease, because it does not know the slots of other entries. The
/// only published entry grants them at once.
class credit_issuer {
public:
    credit_issuer(std::string entry, catalogue::catalogue_pointer published, base::time_point now);

    void set_catalogue(catalogue::catalogue_pointer published, base::time_point now);
    /// Fails with not_owner when another entry is the home, not_found when the organisation is not published, and
    /// overloaded when the state is full.
    base::result<credit_grant> request(credit_request const& ask, base::time_point now);
    /// Drops what has expired. request() calls it once per lease.
    void expire(base::time_point now);
    std::size_t holder_count() const { return holder_count_; }
    /// For tests only.
    void leave_out(mechanism part) { left_out_.set(static_cast<std::size_t>(part)); }

    /// A home entry has 42 of 14,000 organisations on average, with up to 330 holders each. 7 MiB at 330 holders per
    /// organisation, and 12 MiB for 14,000 organisations with one holder each.
    static constexpr std::size_t maximum_holders = 32768;

private:
    struct slot_lease {
        base::time_point until{};
        std::uint32_t slots{0};
    };
    struct holder {
        base::time_point asked_at{};
        /// Per resource, the time from which the holder's share has not been granted.
        std::array<base::time_point, 2> share_from{};
        rate_amounts demand;
        std::uint32_t concurrent{0};
        std::uint32_t counted{0};
        boost::container::static_vector<slot_lease, 6> leases;
    };
    struct rate_state {
        accrual own;
        accrual stretch;
    };
    struct member {
        explicit member(base::time_point now)
            : rates{{{accrual{now}, accrual{now}}, {accrual{now}, accrual{now}}}}
            , refreshed_at(now) {}

        catalogue::organisation const* published{nullptr};
        std::array<rate_state, 2> rates;
        rate_amounts demand;
        std::uint64_t concurrent{0};
        std::uint64_t counted{0};
        base::time_point refreshed_at;
        std::unordered_map<std::string, holder> holders;
    };
    struct family {
        /// Cached because it takes a hash per published entry.
        bool at_home{false};
        explicit family(base::time_point now)
            : total{{accrual{now}, accrual{now}}} {}

        std::array<accrual, 2> total;
        std::unordered_map<std::string, member> members;
    };

    bool enabled(mechanism part) const { return !left_out_.test(static_cast<std::size_t>(part)); }
    family* find_family(catalogue::organisation const& published, base::time_point now);
    base::time_point accrues_from(base::time_point now) const;
    void refresh(member& item, base::time_point now);
    static void count_slots(holder& item, base::time_point now);
    double rest_for(family const& group, member const& item, double limit_total,
                    double (*limit)(catalogue::organisation const&), double (*demand)(member const&)) const;
    double grant_rate(family& group, member& item, holder& asking, std::size_t resource, double wanted,
                      base::time_point now);
    static double hold_to_share(member const& item, holder& asking, std::size_t resource, double capacity,
                                double granted, base::time_point now);
    std::uint32_t grant_slots(family& group, member& item, holder& asking, credit_request const& ask,
                              base::time_point now);

    std::string entry_;
    catalogue::catalogue_pointer catalogue_;
    base::time_point cautious_until_;
    base::time_point expired_at_;
    std::size_t holder_count_{0};
    std::unordered_map<std::string, family> families_;
    std::bitset<static_cast<std::size_t>(mechanism::count)> left_out_;
};

} // namespace cyclamenledge::limits
