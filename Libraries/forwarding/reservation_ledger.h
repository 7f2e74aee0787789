#pragma once

#include "base/time.h"
#include "forwarding/engine_report.h"
#include "forwarding/expected_room.h"
#include "forwarding/prompt_limits.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding {

/// A request for a reservation at an engine.
struct reservation_request {
    /// Connection of the entry that serves the request.
    std::uint64_t entry{0};
    std::string request;
    /// Prompt tokens that the engine has to read. Zero for a request that continues from a copy.
    std::uint32_t unread_tokens{0};
    /// Memory that the request is expected to occupy when it ends.
    std::uint32_t memory_tokens{0};
    /// Number of requests that the engine can run at the same time.
    std::uint32_t slots{0};
    /// Reserves even if the engine has no room (overcommit).
    bool accept_overcommit{false};
};

/// Reservations that an agent has granted at its engine. Entries choose engines by reports that do not include the
/// latest choices of other entries. In a burst of prompts at many entries, without a shared count, all entries would
/// choose the engine that looked idle to each of them, and every prompt there would wait for those ahead of it.
class reservation_ledger {
public:
    /// Milliseconds of a step that generates one token of each of twenty requests.
    static constexpr double default_token_time = 10;

    /// Reserves capacity. Returns false if the engine has no room for the request beside the reservations granted
    /// before. The limits apply to requests with an unread prompt.
    bool grant(reservation_request requested, engine_report const& latest, base::time_point now,
               prompt_limits const& limits = immediate_prompt_limits);
    /// Releases the reservation of a request that is no longer at the engine or was never sent to it.
    void end(std::string const& request, base::time_point now);
    /// Releases the reservations of an entry whose connection was closed. Its requests then count as the reports show
    /// them.
    void remove_entry(std::uint64_t entry);
    /// A reservation whose prompt has been read, so that its request generates events.
    struct started_request {
        std::uint64_t entry{0};
        base::time_point granted_at{};
    };
    /// Updates the reservations from a new report: prompts of requests that generate events have been read. Returns
    /// those that generate events for the first time, except copies of running requests.
    std::vector<started_request> observe(engine_report const& report, base::time_point now);
    /// When the reservation of a request was granted that no report has shown as generating. No value for others.
    std::optional<base::time_point> granted_unseen(std::string const& request) const;
    /// Fills in the fields of a report that depend on the reservations.
    engine_report complete(engine_report report, base::time_point now) const;
    /// Expected ends of the requests in a report and of the reservations.
    std::vector<memory_release> releases(engine_report const& report) const;
    std::size_t size() const { return reservations_.size(); }

private:
    struct reservation {
        reservation_request requested;
        base::time_point granted_at{};
        bool generating{false};
        /// Memory of a generating request in the last report.
        std::uint32_t tokens{0};

        bool unread() const { return !generating && requested.unread_tokens > 0; }
    };

    double unread_tokens(engine_report const& report, base::time_point now) const;
    double committed_tokens(engine_report const& report) const;
    /// Memory reserved for copies that no report shows yet.
    double reserved_for_copies() const;
    reservation const* find(std::string const& request) const;
    reservation const* first_unread() const;
    void update_reading_pace(double tokens_read, base::time_point now);
    void update_token_time(engine_report const& report, base::time_point now);
    /// Memory that a generating request is expected to add before it ends.
    double tokens_to_come(generating_request const& running) const;

    /// In the order of the grants, which is the order in which the engine reads the prompts.
    std::vector<reservation> reservations_;
    double reading_pace_{engine_report::default_reading_pace};
    /// Earliest time at which the engine could begin to read the first unread prompt.
    base::time_point reading_since_{};
    /// Time in milliseconds in which a running request grows by one token.
    double token_time_{default_token_time};
    base::time_point observed_at_{};
};

} // namespace cyclamenledge::forwarding
