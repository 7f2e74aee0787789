#pragma once

#include <boost/json/object.hpp>
#include <boost/process/child.hpp>

#include <chrono>
#include <filesystem>
#include <functional>
#include <list>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

/// The time that the guarantees allow for a publication to be in force everywhere.
inline constexpr std::chrono::seconds dissemination_limit{3};

/// The status code and body of one HTTP exchange; status 0 when nothing answers.
struct http_answer {
    unsigned status{0};
    std::string body;
};

http_answer http_get(std::string const& address, std::string const& path);
http_answer http_post(std::string const& address, std::string const& path, std::string const& body);
boost::json::object get_object(std::string const& address, std::string const& path);

/// Looks every 10 ms whether the condition holds, until the limit.
bool wait_until(std::chrono::milliseconds limit, std::function<bool()> const& condition);

struct catalogue_options {
    std::uint64_t revision{1};
    bool south_in_service{true};
};

/// A catalogue of three entries and three targets; the third of each is in the failure domain south-a.
std::string catalogue_text(catalogue_options const& options);

/// Real daemons and stand-ins on 127.3.0.0/16. A small fixture of these tests until the shared one is merged.
class daemons {
public:
    daemons();
    ~daemons();
    daemons(daemons const&) = delete;
    daemons& operator=(daemons const&) = delete;

    void start_config_service(std::string const& catalogue);
    void start_vm_list();
    void start_engine(unsigned number);
    void start_agent(unsigned number);
    /// An entry with or without the address of the configuration service in its settings.
    void start_entry(unsigned number, bool with_service);
    /// Sends faults to the configuration service.
    void configure(boost::json::object const& faults) const;
    void set_vm(std::string const& name, std::string const& state) const;

    static std::string config_address() { return "127.3.0.1:41000"; }
    static std::string vms_address() { return "127.3.0.1:41005"; }
    static std::string caller_address(unsigned number);
    static std::string entry_operator(unsigned number);
    static std::string agent_operator(unsigned number);
    static std::uint64_t revision_of(std::string const& operator_address);
    static bool ready(std::string const& operator_address);

private:
    void spawn(std::string const& name, std::string const& program, std::vector<std::string> const& arguments);
    std::string write(std::string const& name, std::string const& text) const;

    std::filesystem::path folder_;
    std::list<boost::process::child> children_;
};

} // namespace cyclamenledge::tests
