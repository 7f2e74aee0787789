#pragma once

#include "base/guarded.h"
#include "link/connection.h"
#include "link/hub_observer.h"
#include "poison/crash_suspects.h"
#include "process/runtime.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::poison_control {

using guarded_suspects = base::guarded<poison::crash_suspects, base::lock_rank::limits>;

/// A notice that is to be sent.
struct outgoing_notice {
    std::uint64_t fingerprint{0};
    /// The process that has sent it to this one. Null for what this process has found out itself.
    link::connection const* source{nullptr};
};

/// Chooses the connected processes that receive a notice.
using recipient_choice =
    std::function<std::vector<link::connection_pointer>(link::hub const& hub, outgoing_notice const& notice)>;

/// All processes of the same role as this one.
std::vector<link::connection_pointer> processes_of_same_role(link::hub const& hub, outgoing_notice const& notice);

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
    /// Why the request must not be sent to a target. A refusal is logged and counted.
    std::optional<poison::refusal> refuse(poison::request_content const& content);
    /// The same, neither logged nor counted.
    std::optional<poison::refusal> find_refusal(poison::request_content const& content) const;
    /// Whether a target crashed while it ran the request, or one with a part of its prompt.
    bool suspects(poison::request_content const& content) const;
    /// A target of this process has crashed.
    void on_crash(poison::crash_notice const& notice) { record_crash(notice, nullptr); }
    void on_success(std::uint64_t fingerprint);
    /// A target has answered on the parts of the prompt.
    void on_part_success(poison::request_content const& content);
    boost::json::object state() const;

    void on_connected(link::connection& source) override;

private:
    void record_crash(poison::crash_notice const& notice, link::connection const* source);
    void on_peer_success(wire::schema::CrashNoticeT const& message, link::connection const& source);
    void send_success(std::uint64_t fingerprint, base::milliseconds age);
    void send_to_recipients(wire::schema::CrashNoticeT const& message, link::connection const* source);

    process::runtime& daemon_;
    guarded_suspects& table_;
    recipient_choice recipients_;
};

} // namespace cyclamenledge::poison_control
