#pragma once

#include "base/random.h"
#include "soak/fleet.h"
#include "soak/run_ledger.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <span>
#include <string>

namespace cyclamenledge::soak {

/// Harms and operates the fleet at random moments, in series and overlapping.
class fault_plan {
public:
    fault_plan(boost::asio::io_context& context, fleet& world, run_ledger& ledger, std::uint64_t seed,
               std::ostream& log);

    /// Planned operations only, or faults as well.
    boost::asio::awaitable<void> run(base::milliseconds length, bool with_faults);
    /// Repairs everything and waits until nothing that was begun is still open.
    boost::asio::awaitable<void> settle();
    /// Stops and restarts one entry after the other, whether or not the one before has ended.
    boost::asio::awaitable<void> stop_in_series(base::milliseconds interval, bool interrupted, base::time_point until);

private:
    struct action {
        char const* name{nullptr};
        /// Empty for a planned operation.
        std::optional<fault_reach> reach;
        boost::asio::awaitable<void> (fault_plan::*act)(){nullptr};
    };
    static std::span<action const> actions();

    void log(std::string const& text);
    boost::asio::awaitable<void> perform(action const& chosen);
    boost::asio::awaitable<void> kill_entry();
    boost::asio::awaitable<void> stop_entry();
    /// SIGTERM, and a start when the process has ended, unless no other entry runs. Signals and publications may come
    /// before the end.
    boost::asio::awaitable<void> stop_planned(entry_site& entry, bool interrupted);
    /// Stops the entry beside the caller, so that stops overlap.
    void begin_stop(entry_site& entry, bool interrupted);
    void interrupt_stop(entry_site& entry);
    boost::asio::awaitable<void> pause_entry();
    boost::asio::awaitable<void> kill_agent();
    boost::asio::awaitable<void> pause_agent();
    boost::asio::awaitable<void> crash_target();
    boost::asio::awaitable<void> leave_engine();
    boost::asio::awaitable<void> harm_target();
    /// The engine takes no connections beside those that carry requests, and its streams pause and go on.
    boost::asio::awaitable<void> fill_engine();
    boost::asio::awaitable<void> harm_store();
    boost::asio::awaitable<void> forget_history();
    boost::asio::awaitable<void> restore_store();
    boost::asio::awaitable<void> harm_link();
    boost::asio::awaitable<void> publish();
    boost::asio::awaitable<void> evacuate();
    boost::asio::awaitable<void> name_limit();
    boost::asio::awaitable<void> say_leaving();
    boost::asio::awaitable<void> turn_away();

    boost::asio::awaitable<void> pause(std::uint64_t least, std::uint64_t most);
    entry_site& any_entry();
    target_site& any_target();
    target_site& any_engine();

    boost::asio::io_context& context_;
    fleet& world_;
    run_ledger& ledger_;
    base::random_source random_;
    std::ostream& log_;
    base::time_point began_;
    std::uint32_t open_{0};
};

} // namespace cyclamenledge::soak
