#pragma once

#include "base/random.h"
#include "soak/fault_proxy.h"
#include "soak/run_ledger.h"
#include "support/platform/caller_messages.h"
#include "support/platform/store_standin.h"
#include "support/platform/target_standin.h"
#include "support/process/program.h"
#include "support/process/temporary_folder.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace cyclamenledge::soak {

struct fleet_size {
    std::size_t entries{4};
    std::size_t engines{6};
    std::size_t services{3};
    /// Entries that the settings of the others name as peers.
    std::size_t seeds{3};
    /// Without agents, entries learn nothing of the engines but what the metadata store lists.
    bool agents{true};
    /// Software versions that the engines run. An engine that starts again may run another one.
    std::size_t versions{1};
    /// Whether the store lists documents of another writer under odd names all the time, in small pages.
    bool odd_publications{false};
    /// Slots that each target of the plain service announces.
    std::uint32_t service_slots{24};
    /// The program that runs as entries and agents.
    std::string daemon{tests::process::daemon_path()};
};

/// A daemon under test with what it needs to be started again.
struct daemon {
    std::string name;
    std::string settings;
    std::unique_ptr<tests::process::program> process;
    /// Counts its starts, so that observations of one life are told from those of the next.
    std::uint64_t life{0};
    /// The soak has ended it and will start it again.
    bool ended_on_purpose{false};
    bool paused{false};
    /// Was told to stop and finishes what it has.
    bool stopping{false};
};

struct entry_site {
    std::size_t number{0};
    daemon process;
    std::string caller_address;
    std::unique_ptr<fault_proxy> caller_proxy;
    std::unique_ptr<fault_proxy> store_proxy;
};

struct target_site {
    std::unique_ptr<platform::standin::target_standin> target;
    std::unique_ptr<fault_proxy> proxy;
    /// Only beside engines.
    daemon agent;
    std::unique_ptr<fault_proxy> agent_proxy;
    /// Faults of the target while nothing else harms it.
    platform::standin::target_faults usual;
    /// Takes no new connections.
    bool full{false};
};

/// The programs, the stand-ins of the platform and the proxies between them, on loopback.
class fleet {
public:
    fleet(boost::asio::io_context& context, fleet_size const& size, run_ledger& ledger, base::random_source& random);
    ~fleet();

    base::result<void> start();
    void start_daemon(daemon& wanted);
    /// Fails the run when a daemon has ended that nobody ended.
    void check_daemons();
    void announce(target_site& site);
    void withdraw(target_site& site);
    /// Starts a target that has crashed as a new incarnation and announces it.
    void restart(target_site& site);
    /// The target begins to name a limit, names another one, or names none any more.
    void name_limit(target_site& site, std::optional<platform::standin::named_limit> const& limit);
    void publish_configuration();
    std::uint64_t version() const { return version_; }
    void evacuate(std::size_t domain, bool evacuated);
    /// The operator and the targets write again what a restored store has lost.
    void write_again();
    /// Takes every fault back and starts what is down.
    void repair();

    std::vector<std::unique_ptr<entry_site>>& entries() { return entries_; }
    std::vector<std::unique_ptr<target_site>>& targets() { return targets_; }
    platform::standin::store_standin& store() { return store_; }
    std::string output_folder() const { return folder_.path().string(); }
    /// The end of each daemon's output, for a failed run.
    std::string describe() const;

    static constexpr std::size_t domain_count = 3;

private:
    base::result<void> add_entry(std::size_t number, std::vector<std::string> const& seeds);
    base::result<void> add_target(std::size_t number, bool engine);
    /// Stores documents of another writer that name no target to use.
    void write_odd_publications();
    void on_crash(target_site& site, bool by_request);
    std::string any_version();
    boost::asio::awaitable<void> restart_later(target_site& site);

    boost::asio::io_context& context_;
    fleet_size size_;
    run_ledger& ledger_;
    base::random_source& random_;
    tests::process::temporary_folder folder_;
    std::string host_;
    platform::standin::store_standin store_;
    std::string store_address_;
    platform::standin::target_directory directory_;
    std::vector<std::unique_ptr<entry_site>> entries_;
    std::vector<std::unique_ptr<target_site>> targets_;
    std::uint64_t version_{0};
    std::string configuration_;
    std::set<std::string> evacuated_;
    std::set<std::string> odd_names_;
};

/// The routes that every configuration has.
std::span<platform::standin::published_route const> fixed_routes();

inline constexpr char const* engine_service = "engine";
inline constexpr char const* plain_service = "orders";
inline constexpr char const* caller_host = "callers.example";
inline constexpr char const* caller_key = "soak-key";

} // namespace cyclamenledge::soak
