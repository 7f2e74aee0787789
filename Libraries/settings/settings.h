#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::settings {

/// The forwarding roles pass requests on unchanged and learn routes and targets from a metadata store.
enum class process_role : std::uint8_t { entry, agent, forwarding_entry, forwarding_agent };

constexpr bool is_forwarding(process_role role) {
    return role == process_role::forwarding_entry || role == process_role::forwarding_agent;
}
/// Whether the process takes requests of callers.
constexpr bool serves_callers(process_role role) {
    return role == process_role::entry || role == process_role::forwarding_entry;
}

/// text: lines for people on standard error. json: one object a line on standard output.
enum class log_format : std::uint8_t { text, json };

/// What an entry does with the pace of work that targets state in their answers.
enum class pace_use : std::uint8_t { ignore, follow };

/// Bounds on what a caller may send.
struct caller_limits {
    std::size_t header_bytes{16 * 1024};
    std::size_t body_bytes{1024 * 1024};
    base::seconds header_timeout{30};
    std::uint32_t connections{20000};
};

/// Settings that only the forwarding roles have.
struct forwarding_settings {
    /// Where the balancer asks whether the entry is ready, as IP:PORT.
    std::optional<std::string> readiness_address;
    /// Metadata store with routes and targets, as IP:PORT.
    std::optional<std::string> store_address;
    /// Port on which the agents listen for entries.
    std::uint32_t agent_port{0};
    /// Failure domains with their regions, each as DOMAIN=REGION.
    std::vector<std::string> regions;
    /// Sends beyond the first one of each request, over all entries: this share of a service's requests in a window
    /// plus a reserve.
    double retry_share{0.1};
    double retry_reserve{10};
    base::milliseconds retry_window{10'000};
    /// Services with a stream route of at least this latency objective are under overload control. Zero for none.
    base::milliseconds deferrable_objective{0};
    /// Whether the paces that targets state are used. Services with such targets are under overload control too.
    pace_use target_pace{pace_use::ignore};
};

/// Settings of one daemon, read from YAML at start.
struct process_settings {
    process_role role{process_role::entry};
    /// Name of this process; for an agent the name of its target.
    std::string name;
    std::string failure_domain;
    std::string vm;
    /// Worker threads of the event loop.
    std::uint32_t threads{1};

    /// Address for callers, as IP:PORT; entries only.
    std::string caller_address;
    /// Address for other processes of the system, as IP:PORT.
    std::string peer_address;
    /// Address for operators (state, health, metrics), as IP:PORT.
    std::string operator_address;
    /// Address of the target, as IP:PORT; agents only.
    std::string target_address;

    /// Configuration service, as IP:PORT. Without it, catalogue_file is read once at start.
    std::optional<std::string> configuration_address;
    std::optional<std::string> catalogue_file;
    /// VM list, as IP:PORT.
    std::optional<std::string> vm_list_address;
    /// Processes asked for the newest configuration at start, as IP:PORT.
    std::vector<std::string> peers;

    /// Accepted shared keys of the protocol between processes. The first one signs.
    std::vector<std::string> shared_keys;

    caller_limits limits;
    /// Time after SIGTERM during which new connections are still accepted.
    base::milliseconds drain_accept{5000};
    /// Longest time for running requests after SIGTERM. Without it, every request is finished.
    std::optional<base::milliseconds> drain_limit;
    /// Taken off drain_limit, so that the process ends before whoever stops it kills it.
    base::milliseconds drain_margin{0};
    std::string log_level{"info"};
    log_format format{log_format::text};
    forwarding_settings forwarding;
};

} // namespace cyclamenledge::settings
