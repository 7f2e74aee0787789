#pragma once

#include "base/time.h"
#include "forwarding/engine_report.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding {

/// A request that asks for a place at an engine.
struct place_request {
    /// Connection of the entry that serves the request.
    std::uint64_t entry{0};
    std::string request;
    /// Prompt tokens that the engine has to read. Zero for a request that goes on from a copy.
    std::uint32_t unread_tokens{0};
    /// Memory that the request is expected to take in the end.
    std::uint32_t memory_tokens{0};
    std::uint32_t slots{0};
    bool accept_crowded{false};
};

/// The places that an agent has granted at its engine. Entries choose engines by reports that are older than the
/// choices of other entries. The load pattern is a burst of prompts at many entries at once: without a common count
/// they meet at the engine that looked idle to all of them, and each prompt there waits for those before it.
class grant_ledger {
public:
    /// False when the engine has no room for the request, with all that was granted before.
    bool grant(place_request wanted, engine_report const& newest, base::time_point now);
    /// The request is no longer at the engine, or was never sent there.
    void end(std::string const& request, base::time_point now);
    /// The entry's connection was lost. Its requests are counted as the report shows them.
    void remove_entry(std::uint64_t entry);
    /// Takes a new report, after which requests that make events are no longer unread.
    void observe(engine_report const& report, base::time_point now);
    /// Completes a report with what was granted.
    engine_report complete(engine_report report, base::time_point now) const;
    std::size_t size() const { return places_.size(); }

private:
    struct place {
        place_request wanted;
        base::time_point granted_at{};
        bool generating{false};

        bool unread() const { return !generating && wanted.unread_tokens > 0; }
    };

    double unread_tokens(engine_report const& report, base::time_point now) const;
    double committed_tokens(engine_report const& report) const;
    /// Memory of copies that no report shows yet.
    double promised_copies() const;
    place const* find(std::string const& request) const;
    place const* first_unread() const;
    void learn_pace(double tokens_read, base::time_point now);

    /// In the order in which they were granted, which is the order in which prompts are read.
    std::vector<place> places_;
    double reading_pace_{engine_report::usual_reading_pace};
    /// When the engine could begin to read the first unread prompt.
    base::time_point reading_since_{};
};

} // namespace cyclamenledge::forwarding
