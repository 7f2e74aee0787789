#pragma once

#include "entry/blackboard.h"
#include "link/hub_observer.h"
#include "process/runtime.h"

#include <map>
#include <mutex>
#include <set>
#include <string>

namespace cyclamenledge::entry {

/// The name of a key in the entry's tracker, which holds the keys of all services.
std::string tracked_key(std::string_view service, std::string_view organisation, once::idempotency_key const& key);

/// The entry's links to agents: which ones it keeps, what they say about their targets, and which attempt an answer
/// belongs to.
class agent_links : public link::hub_observer {
public:
    agent_links(process::runtime& daemon, blackboard& board);

    /// Registers for frames. Called once, before the first connection.
    void start();
    /// Opens links to the targets of the entry's subset and ends all others.
    void follow(catalogue::catalogue const& published);
    /// The connection to a target's agent that requests may use now, or null.
    link::connection_pointer find(std::string_view target) const { return daemon_.hub().find_connection(target); }

    /// The same, once the agent has received the keys that were sent to its earlier incarnations.
    link::connection_pointer find_informed(std::string_view target) const;

    void on_connected(link::connection& source) override;
    void on_heartbeat(link::connection& source, wire::schema::HeartbeatT const& heartbeat) override;
    void on_disconnected(link::connection& source, base::error const& reason) override;

private:
    template <class Message>
    void register_answer();
    template <class Message>
    void pass_on(link::connection& source, Message message);
    void send_remembered(link::connection& target);
    void set_link(std::string const& target, bool up);
    void update_hint(std::string const& target, wire::schema::LoadHintT const& hint);

    process::runtime& daemon_;
    blackboard& board_;
    // Leaf lock: no other lock is taken while it is held.
    mutable std::mutex mutex_;
    /// Address of the agent of each linked target.
    std::map<std::string, std::string> linked_;
    /// Numbers of the connections over which the remembered keys were sent.
    std::set<std::uint64_t> informed_;
};

} // namespace cyclamenledge::entry
