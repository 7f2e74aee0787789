#pragma once

#include "base/random.h"
#include "base/time.h"
#include "forwarding/engine_report.h"
#include "forwarding/engine_room.h"
#include "forwarding/generation_size.h"
#include "forwarding/route_set.h"
#include "forwarding/target_health.h"
#include "forwarding/target_record.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::forwarding {

/// What a request needs of a target.
struct placement_request {
    std::string_view service;
    /// Set for generations.
    std::optional<generation_size> size;
    /// Regions that may run the request. Empty for all. Where route and organisation both have homes, both bind.
    std::vector<std::string> const* route_homes{nullptr};
    std::vector<std::string> const* organisation_homes{nullptr};
    /// Ids of targets that this request must not use.
    std::span<std::string const> excluded;
    /// Also considers engines without room, because the request cannot wait any longer.
    bool accept_crowded{false};
};

/// How far apart two engines are, for copies between them.
enum class copy_span : std::uint8_t { same_domain, same_region, other_region };

/// The memory of a running request that needs a place at a second engine.
struct copy_request {
    placement_request request;
    std::string source;
    std::uint32_t tokens{0};
    /// The destination is filled up to this share of its memory.
    double room_share{1};
    /// Destinations further away are not used.
    copy_span widest{copy_span::other_region};
};

enum class placement_kind : std::uint8_t {
    placed,
    /// Targets exist, but none has room now.
    wait,
    /// No target may run the request.
    none,
};

struct placement {
    placement_kind kind{placement_kind::none};
    std::string target;
    /// Why the target was chosen or none was, for the log.
    std::string_view reason;
};

/// One target as this process sees it.
struct target_view {
    target_record record;
    std::string region;
    bool removed{false};
    /// The metadata store could not be reached when the removal was seen, so the target may be back soon.
    bool removal_in_doubt{false};
    base::time_point removed_at{};
    base::time_point seen_at{};
    base::time_point cold_until{};
    std::optional<engine_report> report;
    base::time_point reported_at{};
    /// Requests of this process that are open at the target.
    std::uint32_t open_requests{0};
    /// Requests that this process placed and the last report cannot show yet.
    struct promise {
        std::uint64_t number{0};
        base::time_point at;
        std::uint32_t memory_tokens{0};
        std::uint32_t unread_tokens{0};
    };
    std::deque<promise> promises;
    /// Requests that this process sent to the cold target in the current second.
    std::deque<base::time_point> cold_sends;
    target_health health;

    /// Whether the target was removed while the metadata store was out of reach and may still come back.
    bool in_doubt(base::time_point now) const;
    /// Whether the target takes no new requests and is about to stop.
    bool leaving(base::time_point now) const;
};

/// All targets, what is known of their load, and where the next request goes. Each process has its own view; the
/// reports of the agents keep the views close to each other.
class fleet_view {
public:
    /// A report older than this says nothing about the memory of an engine.
    static constexpr base::milliseconds report_lifetime{1500};
    /// The first report of a new engine is waited for this long. Agents are connected to within 100 ms.
    static constexpr base::milliseconds first_report_patience{1000};
    /// A request is visible in the reports this long after it was sent.
    static constexpr base::milliseconds report_lag{250};
    /// Targets that vanished while the metadata store was away are back within this time, or gone.
    static constexpr base::milliseconds doubt_lifetime{2200};
    /// How long a removed target is remembered for the requests that still run there.
    static constexpr base::seconds removed_lifetime{30};

    fleet_view(std::string failure_domain, std::map<std::string, std::string> regions, std::uint64_t seed);

    void apply_routes(route_set_pointer routes) { routes_ = std::move(routes); }
    void update_target(target_record const& record, base::time_point now);
    void remove_target(std::string const& id, bool store_in_doubt, base::time_point now);
    void set_evacuated(std::string const& failure_domain, bool evacuated);
    void update_report(std::string const& address, engine_report const& report, base::time_point now);
    /// Whether the last report of the agent says that the target at the address is leaving.
    bool reported_leaving(std::string const& address) const;
    /// Something other than a report says that the target is going, such as its own answer.
    void mark_leaving(std::string const& id);

    placement choose(placement_request const& request, base::time_point now);
    /// Another engine for the memory of a running request: where it is moved to or backed up.
    placement choose_copy_holder(copy_request const& wanted, base::time_point now);
    /// Memory that this process is about to copy to the target. Returns the number of the promise.
    std::uint64_t promise_copy(std::string const& id, std::uint32_t tokens, base::time_point now);
    /// A request that goes on from a copy has no size, because its memory is there. Returns the number of the promise.
    std::uint64_t begin_request(std::string const& id, std::optional<generation_size> const& size,
                                base::time_point now);
    void end_request(std::string const& id);
    /// The reports of the agent show what was promised.
    void settle_promise(std::string const& id, std::uint64_t number);
    /// The agent no longer answers, so its last report says nothing.
    void forget_report(std::string const& id);
    void record_outcome(std::string const& id, target_outcome outcome, base::time_point now);

    target_view const* find(std::string const& id) const;
    std::map<std::string, target_view> const& targets() const { return targets_; }
    /// Requests that the target runs at the same time.
    std::uint32_t slots_of(std::string const& id) const;
    /// Whether the agent beside the target tells what it knows.
    bool reported(std::string const& id, base::time_point now) const;
    /// Whether a copy of a request's memory at the target may be used.
    bool may_receive(std::string const& id, base::time_point now) const;
    bool evacuated(std::string const& failure_domain) const { return evacuated_.contains(failure_domain); }
    /// Entries that share the targets, as the agents count them. At least one.
    std::uint32_t entry_count() const { return entry_count_; }
    std::string const& region_of(std::string const& failure_domain) const;
    /// Forgets removed targets.
    void expire(base::time_point now);

private:
    struct candidate {
        target_view* target;
        double score;
    };

    bool usable(target_view const& target, placement_request const& request, base::time_point now) const;
    bool has_room(target_view const& target, generation_size const& size, base::time_point now) const;
    bool has_room_for_copy(target_view const& target, std::uint32_t tokens, double room_share,
                           base::time_point now) const;
    static bool reported(target_view const& target, base::time_point now);
    static engine_room room(target_view const& target, base::time_point now);
    static copy_span span_between(target_view const& one, target_view const& other);
    bool allowed_while_cold(target_view& target, base::time_point now) const;
    double distance(target_view const& target) const;
    double load(target_view const& target, std::optional<generation_size> const& size, base::time_point now) const;
    engine_capacity const* capacity(target_view const& target) const;

    std::string failure_domain_;
    std::map<std::string, std::string> regions_;
    base::random_source random_;
    route_set_pointer routes_;
    std::map<std::string, target_view> targets_;
    std::set<std::string> evacuated_;
    std::uint32_t entry_count_{1};
    std::uint64_t next_promise_{1};
};

} // namespace cyclamenledge::forwarding
