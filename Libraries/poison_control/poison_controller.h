#pragma once

#include "base/guarded.h"
#include "link/connection.h"
#include "link/hub_observer.h"
#include "poison/crash_suspects.h"
#include "process/runtime.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace cyclamenledge::poison_control {

using guarded_suspects = base::guarded<poison::crash_suspects, base::lock_rank::limits>;

/// Chooses the connected processes that receive the notices about a fingerprint.
using recipient_choice =
    std::function<std::vector<link::connection_pointer>(link::hub const& hub, std::uint64_t fingerprint)>;

/// All processes of the same role as this one.
std::vector<link::connection_pointer> processes_of_same_role(link::hub const& hub, std::uint64_t fingerprint);

/// Refuses requests that crashed targets, and exchanges crash notices with other processes. Each process passes on what
/// is new to it, and sends what it knows to a process that connects.
class poison_controller : public link::hub_observer {
public:
    poison_controller(process::runtime& daemon, guarded_suspects& table, recipient_choice recipients)
        : daemon_(daemon)
        , table_(table)
        , recipients_(std::move(recipients)) {}

    /// Registers for frames. Called once, before the first connection.
    void start();
    /// Whether requests with the fingerprint must not be sent to a target. A refusal is logged and counted.
    bool refuses(std::uint64_t fingerprint);
    /// Whether a target crashed while it ran a request with the fingerprint.
    bool suspects(std::uint64_t fingerprint) const;
    /// Time until the fingerprint's newest crash record expires.
    base::milliseconds time_to_expiry(std::uint64_t fingerprint) const;
    void on_crash(poison::crash_notice const& notice);
    void on_success(std::uint64_t fingerprint);
    boost::json::object state() const;

    void on_connected(link::connection& source) override;

private:
    void on_peer_success(wire::schema::CrashNoticeT const& message);
    void send_to_recipients(wire::schema::CrashNoticeT const& message);

    process::runtime& daemon_;
    guarded_suspects& table_;
    recipient_choice recipients_;
};

} // namespace cyclamenledge::poison_control
