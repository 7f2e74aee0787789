#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

// Boost 1.81 uses these in its process headers without including them.
#include <boost/optional.hpp>
#include <boost/process/v2/process.hpp>

#include <type_traits>

namespace cyclamenledge::tests {

/// An answer of a daemon or a stand-in.
struct answer {
    unsigned status{0};
    std::string body;

    boost::json::value json() const;
    /// The kind and the run statement of an error body, or empty text.
    std::string error_kind() const;
    std::string run() const;
};

/// One call of a caller through an entry.
struct keyed_call {
    std::string service;
    std::string key;
    std::string body{"{}"};
    unsigned deadline_ms{20000};
};

/// Waits until the condition holds. Fails the test when it does not in time.
void wait_until(std::string const& what, std::chrono::seconds longest, std::function<bool()> const& condition);

/// Daemons and stand-ins on loopback. Every service has one target of its own, so that each test can end the processes
/// of its service; an agent runs no keyed call in its first 30 s, so the tests share one start.
class world {
public:
    static world& instance();
    world();
    ~world();
    world(world const&) = delete;
    world& operator=(world const&) = delete;

    std::string issue_key();
    answer call(unsigned entry, keyed_call const& wanted);
    answer get(unsigned entry, std::string const& path);
    answer inquire(unsigned entry, std::string const& service, std::string const& key);
    /// How often the service has run the key.
    std::uint64_t executions(std::string const& target, std::string const& key);
    void set_faults(std::string const& target, std::string const& json);
    boost::json::value agent_state(std::string const& target);

    boost::process::v2::process& agent(std::string const& target) { return processes_.at("agent-" + target); }
    boost::process::v2::process& entry(unsigned number) { return processes_.at("entry-" + std::to_string(number)); }
    void start_agent(std::string const& target);
    void start_standin(std::string const& target);

private:
    void write_catalogue() const;
    void start_entry(unsigned number);
    void await_first_runs();

    void start(std::string const& name, char const* program, std::vector<std::string> const& arguments);

    std::string folder_;
    boost::asio::io_context context_;
    std::map<std::string, boost::process::v2::process> processes_;
};

} // namespace cyclamenledge::tests
