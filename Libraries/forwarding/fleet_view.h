#pragma once

#include "base/random.h"
#include "base/time.h"
#include "forwarding/arrival_decision.h"
#include "forwarding/engine_report.h"
#include "forwarding/engine_room.h"
#include "forwarding/entry_count.h"
#include "forwarding/generation_size.h"
#include "forwarding/load_spread.h"
#include "forwarding/overload_control.h"
#include "forwarding/permit_issuer.h"
#include "forwarding/permit_stock.h"
#include "forwarding/route_set.h"
#include "forwarding/stated_load.h"
#include "forwarding/target_health.h"
#include "forwarding/target_hold_off.h"
#include "forwarding/target_limit.h"
#include "forwarding/target_pace.h"
#include "forwarding/target_record.h"
#include "forwarding/urgency.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::forwarding {

/// Constraints on the target of a request.
struct placement_request {
    std::string_view service;
    /// Set for generations only.
    std::optional<generation_size> size;
    /// Regions that may run the request; null or empty allows all. If both the route and the organisation have home
    /// regions, a target must be in both lists.
    std::vector<std::string> const* route_homes{nullptr};
    std::vector<std::string> const* organisation_homes{nullptr};
    /// The version that began the stream which the request continues. Null allows all.
    std::string const* software_version{nullptr};
    /// Ids of targets that must not be used for this request.
    std::span<std::string const> excluded;
    /// Also considers engines without room (overcommit), because the request cannot wait any longer.
    bool accept_overcommit{false};
    /// How long the request may wait for a permit.
    base::time_point wait_until{};
    /// Requests of the service that wait at this entry.
    std::size_t waiting{0};
    urgency urgent;
    /// Objective for the pauses of a stream, see route. Zero for none.
    base::milliseconds pause_objective{0};
};

/// Network distance between the source and the destination of a copy.
enum class copy_span : std::uint8_t { same_domain, same_region, other_region };

/// A running request whose memory is to be copied to a second engine.
struct copy_request {
    placement_request request;
    std::string source;
    std::uint32_t tokens{0};
    /// Share of the destination's memory that may be in use after the copy.
    double room_share{1};
    /// Maximum distance of the destination.
    copy_span widest{copy_span::other_region};
    /// Also considers engines whose load is not known. They refuse a copy that does not fit.
    bool accept_unreported{false};
};

enum class placement_kind : std::uint8_t {
    placed,
    /// Eligible targets exist, but none has room now.
    wait,
    /// Every eligible target with room has a bounded rate or wants nothing for a time, and none can take the request
    /// soon.
    exhausted,
    /// No target is eligible for the request.
    none,
};

struct placement {
    placement_kind kind{placement_kind::none};
    std::string target;
    /// Reason for the decision, for the log.
    std::string_view reason;
    /// Target with a bounded rate for which a permit should be requested, because it would have been chosen with one.
    std::string permit_wanted{};
    /// If exhausted: when the first permit is expected or the first hold-off ends, and the requests a second that this
    /// entry may expect to send then.
    base::time_point available_at{};
    double permits_per_second{0};
    /// Until then, every target that may run the request wants nothing.
    base::time_point held_until{};
};

/// An engine at whose agent a request may wait, and the expected time until it has room.
struct queue_choice {
    std::string target;
    base::milliseconds expected_wait{0};
};

/// State of a target in the view of this process.
struct target_view {
    target_record record;
    std::string region;
    /// The target has shown that it leaves, for example in an answer. It stays so, whatever is listed of this
    /// incarnation.
    bool shown_leaving{false};
    bool removed{false};
    /// The removal is not confirmed: the metadata store was unreachable when the target disappeared from its listing,
    /// so the target may reappear soon.
    bool store_unreachable_at_removal{false};
    base::time_point removed_at{};
    base::time_point seen_at{};
    base::time_point cold_until{};
    std::optional<engine_report> report;
    base::time_point reported_at{};
    /// Number of open requests that this process sent to the target.
    std::uint32_t open_requests{0};
    /// Another incarnation has started at the address, as the agent there reports. Its software may be another one.
    bool replaced{false};
    /// Memory that this process set aside for a request that the last report does not show yet.
    struct reservation {
        std::uint64_t number{0};
        base::time_point at;
        std::uint32_t memory_tokens{0};
        std::uint32_t unread_tokens{0};
    };
    std::deque<reservation> reservations;
    target_health health;
    target_limit limit;
    target_hold_off hold_off;
    /// Used while the target has a bounded rate.
    permit_stock permits;
    /// What the target stated last, and when.
    std::optional<stated_load> load;
    base::time_point load_stated_at{};
    /// Pace by the target's own statements to this process.
    target_pace pace;

    /// Whether the target was removed while the metadata store was unreachable and may still reappear.
    bool removal_unconfirmed(base::time_point now) const;
    /// Whether the target has announced or shown that it is about to stop.
    bool said_leaving() const { return shown_leaving || record.state == target_state::leaving; }
    /// Whether the target accepts no new requests because it was removed or is about to stop.
    bool leaving(base::time_point now) const;
};

/// All targets with their load. Chooses the target of each request. Each process has its own view; the reports of the
/// agents keep the views similar.
class fleet_view {
public:
    /// Maximum age of a report. An older one is not used to decide whether an engine has room.
    static constexpr base::milliseconds report_lifetime{1500};
    /// How long to wait for the first report of a new engine. Connecting to an agent takes up to 100 ms.
    static constexpr base::milliseconds first_report_timeout{1000};
    /// Time from sending a request until the reports include it.
    static constexpr base::milliseconds report_lag{250};
    /// Targets that disappeared while the metadata store was unreachable reappear within this time or have stopped.
    static constexpr base::milliseconds unconfirmed_removal_lifetime{2200};
    /// How long a removed target is kept for the requests that still run there.
    static constexpr base::seconds removed_lifetime{30};
    /// How long a removed target is kept that had shown that it leaves. A late listing of it must not make it usable.
    static constexpr base::seconds shown_leaving_lifetime{600};

    /// How long a software version is remembered that no target is listed with any more. No stream lasts as long.
    static constexpr base::seconds version_lifetime{3600};

    fleet_view(std::string failure_domain, std::map<std::string, std::string> regions, std::uint64_t seed);

    void configure_overload(overload_settings const& settings) { overload_.configure(settings); }
    void apply_routes(route_set_pointer routes);
    /// A target has stated its pace, so that its service is under overload control if the settings say so.
    void on_pace_stated(std::string_view service) { overload_.on_pace_stated(service); }
    /// Whether requests of the service wait at the agents and may be refused on arrival.
    bool under_overload_control(std::string_view service) const { return overload_.applies_to(service); }
    bool follows_pace() const { return overload_.follows_pace(); }
    /// Keeps the load, and the pace if there is one, that an answer of the target states.
    void update_load(std::string const& id, stated_load const& stated, base::time_point now);
    /// Pace of the target. No value if it is not known, or if the settings or the target's service do not use it.
    std::optional<pace_estimate> pace_of(target_view const& target, base::time_point now) const;
    void update_target(target_record const& record, base::time_point now);
    void remove_target(std::string const& id, bool store_unreachable, base::time_point now);
    void set_evacuated(std::string const& failure_domain, bool evacuated);
    void update_report(std::string const& address, engine_report const& report, base::time_point now);
    /// Whether the last report of the agent marks the target at the address as leaving.
    bool reported_leaving(std::string const& address) const;
    /// Marks this incarnation of the target as leaving on other evidence than a report, such as a response of the
    /// target. Returns whether it was not known to be leaving.
    bool mark_leaving(target_incarnation const& target, base::time_point now);
    /// The target wants nothing from this process for the time. Returns whether the end of its hold-off has changed.
    bool hold_off(target_incarnation const& target, base::milliseconds length, base::time_point now);
    bool held_off(std::string const& id, base::time_point now) const;
    /// Whether memory may be copied off the target.
    bool may_copy_from(std::string const& id, base::time_point now) const;
    /// Counts a call that copies memory off the target. Returns whether it may be made.
    bool take_copy_call(std::string const& id, base::time_point now);
    /// When the first target that may run the request ends its hold-off and how many requests a second this entry may
    /// expect to send then. Targets that the request excludes count. No value while one takes requests.
    std::optional<placement> find_hold_off(placement_request request, base::time_point now) const;

    /// Chooses an eligible target for a request: the one with the lowest load, or under overload control a random one
    /// of those with low load.
    placement choose(placement_request const& request, base::time_point now);
    /// Chooses the engine at whose agent a request waits that finds no room: of a few, the one that is expected to have
    /// room first. No value if no agent is known to keep requests waiting.
    std::optional<queue_choice> choose_queue(placement_request const& request, base::time_point now);
    /// When the engines that may run the request are expected to have room for it.
    room_outlook find_room_outlook(placement_request const& request, base::time_point now) const;
    /// Chooses an engine to which the memory of a running request is moved or backed up.
    placement choose_copy_holder(copy_request const& copy, base::time_point now);
    /// Reserves memory at the target for a copy that this process is about to make. Returns the reservation number.
    std::uint64_t reserve_copy(std::string const& id, std::uint32_t tokens, base::time_point now);
    /// Counts a request as open, uses a permit if the target has a bounded rate, and reserves memory for it. The size
    /// is empty for requests without one and for requests that continue from a copy, because the copy is already at the
    /// target. Returns the reservation number, or 0 if nothing was reserved.
    std::uint64_t begin_request(std::string const& id, std::optional<generation_size> const& size,
                                base::time_point now);
    void end_request(std::string const& id);
    /// Ends a request that was not sent, so that its permit can be used by another.
    void withdraw_request(std::string const& id, base::time_point now);
    /// Releases a reservation because the reports of the agent include it.
    void release_reservation(std::string const& id, std::uint64_t number);
    /// Invalidates the last report because the agent no longer answers.
    void invalidate_report(std::string const& id);
    void record_outcome(std::string const& id, target_outcome outcome, base::time_point now);

    /// Applies the limit that an answer of the target names. Returns whether the limit has changed.
    bool observe_limit(std::string const& id, std::optional<double> named, base::time_point now);
    /// Applies what another process has observed of a target's limit. Returns whether the limit has changed.
    bool merge_limit(target_incarnation const& target, limit_observation const& seen);
    /// Requests a second that all entries together may send to the target. No value if its rate is not bounded.
    std::optional<double> permitted_rate(target_view const& target, base::time_point now) const;
    /// The permits of the target, or null.
    permit_stock* find_permits(std::string const& id);
    /// Lets the permits of targets with a bounded rate expire and notices issuers that do not answer.
    void update_permits(base::time_point now);
    /// Addresses of the engines that the store lists, whose agents issue permits.
    std::vector<std::string> engine_addresses(base::time_point now) const;

    target_view const* find(std::string const& id) const;
    /// Whether a target that started after the given Unix time in milliseconds is announced at the address.
    bool has_newer_incarnation(std::string const& address, std::int64_t started_at) const;
    std::map<std::string, target_view> const& targets() const { return targets_; }
    /// Number of requests that the target can run at the same time.
    std::uint32_t slots_of(std::string const& id) const;
    /// Whether there is a current report of the agent on the target's VM.
    bool reported(std::string const& id, base::time_point now) const;
    /// The only software version that targets of the service have had for the time, as far as this process knows. No
    /// value if there were others, or if this process has not listed the service for so long: a list does not show
    /// which targets have just left it.
    std::optional<std::string> find_sole_version(std::string const& service, base::milliseconds time,
                                                 base::time_point now) const;
    /// Whether a copy of a request's memory at the target may be used.
    bool may_receive(std::string const& id, base::time_point now) const;
    bool evacuated(std::string const& failure_domain) const { return evacuated_.contains(failure_domain); }
    /// Another process counts this many entries.
    void observe_entries(std::uint32_t count, base::time_point now) { entries_.observe(count, now); }
    /// Number of entries that share the targets. No value while no process has counted them.
    std::optional<std::uint32_t> count_entries(base::time_point now) const { return entries_.value(now); }
    std::string const& region_of(std::string const& failure_domain) const;
    /// Discards removed targets after removed_lifetime.
    void expire(base::time_point now);

private:
    struct candidate {
        target_view* target{nullptr};
        double score{0};
        /// Random addition to the score where the lowest one is chosen.
        double jitter{0};
    };
    /// Targets that a request could use if there were a permit for them.
    struct permitless_targets {
        candidate best{nullptr, 0};
        bool any{false};
        bool permit_expected{false};
        base::time_point available_at{base::time_point::max()};
        double permits_per_second{0};
    };

    /// Targets that a request could use if they did not want nothing for a time.
    struct held_targets {
        std::size_t count{0};
        base::time_point first_end{base::time_point::max()};
        double per_second{0};

        bool any() const { return count > 0; }
    };
    void add_held(held_targets& found, target_view const& target, base::time_point now) const;
    bool eligible(target_view const& target, placement_request const& request, base::time_point now) const;
    bool has_room(target_view const& target, placement_request const& request, base::time_point now) const;
    /// Whether an engine without a current report may get another request of this entry.
    bool has_unreported_room(target_view const& target, engine_capacity const& engine, base::time_point now) const;
    bool has_room_for_copy(target_view const& target, copy_request const& copy, base::time_point now) const;
    static bool reported(target_view const& target, base::time_point now);
    static engine_room room(target_view const& target, base::time_point now);
    static copy_span span_between(target_view const& one, target_view const& other);
    /// Whether requests of this process, or those of several entries, fail at the target.
    bool ejected(target_view const& target, base::time_point now) const;
    /// Time until the engine is expected to have room for the request, from its report.
    static base::milliseconds expected_wait(target_view const& target, placement_request const& request,
                                            base::time_point now);
    /// Whether the target's rate permits a request now.
    bool permits_request(target_view& target, base::time_point now);
    void update_permits(target_view& target, base::time_point now);
    /// Requests a second that all entries together may send to the target because it is cold.
    std::optional<double> cold_rate(target_view const& target, base::time_point now) const;
    void add_permitless(permitless_targets& found, candidate const& item, base::time_point now) const;
    static placement conclude_without_room(placement_request const& request, permitless_targets const& permitless,
                                           held_targets const& held, bool room_may_come, base::time_point now);
    double distance(target_view const& target) const;
    double load(target_view const& target, std::optional<generation_size> const& size, base::time_point now) const;
    /// Load of a plain target, by the open requests of this process and by what the target has stated.
    double plain_load(target_view const& target, base::time_point now) const;
    /// Addition to the score of an engine that is too slow for the stream.
    double pause_score(target_view const& target, placement_request const& request, base::time_point now) const;
    /// Whether the candidate is drawn by chance, because nobody evens out what several entries choose.
    bool spreads_choices(std::vector<candidate> const& list, placement_request const& request) const;
    /// The candidate that gets the request. The list must not be empty.
    candidate const& pick(std::vector<candidate> const& list, placement_request const& request, base::time_point now);
    spread_candidate spread_view(candidate const& item, std::optional<generation_size> const& size,
                                 base::time_point now) const;
    engine_capacity const* capacity(target_view const& target) const;

    std::string failure_domain_;
    std::map<std::string, std::string> regions_;
    base::random_source random_;
    route_set_pointer routes_;
    overload_control overload_;
    /// For services under overload control.
    std::map<std::string, load_spread, std::less<>> spreads_;
    std::map<std::string, target_view> targets_;
    std::set<std::string> evacuated_;
    entry_count entries_;
    std::uint64_t next_reservation_{1};
    /// Average number of requests per slot that the targets of a service state.
    std::map<std::string, double, std::less<>> stated_loads_;
    /// When each version of a service was last listed, for those that no target runs any more as well.
    std::map<std::string, std::map<std::string, base::time_point>> versions_listed_at_;
    /// When the first target of each service was listed.
    std::map<std::string, base::time_point> services_listed_since_;
};

} // namespace cyclamenledge::forwarding
