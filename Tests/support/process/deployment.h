#pragma once

#include "support/process/http_client.h"
#include "support/process/loopback.h"
#include "support/process/program.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenledge::tests::process {

/// A target with its agent, as the catalogue and the agent's settings describe it.
struct target_node {
    std::string name;
    std::string service{"text"};
    std::string failure_domain{"domain-a"};
    /// "generation" services need memory_tokens.
    std::uint64_t memory_tokens{400000};
    std::uint32_t maximum_running{64};
    std::uint32_t warmup_floor{64};
    std::string state{"in_service"};
    std::string peer_address;
    std::string operator_address;
    std::string target_address;
};

struct entry_node {
    std::string name;
    std::string failure_domain{"domain-a"};
    std::string peer_address;
    std::string operator_address;
    std::string caller_address;
};

struct organisation_node {
    std::string name;
    std::string bearer_key;
    /// YAML of the fields after the key, such as services and limits.
    std::string fields{"services: [text]\n    limits: {requests_per_second: 100000, concurrent_requests: 100000, "
                       "tokens_per_second: 100000000}\n"};
};

/// The settings, catalogue and programs of one small system on loopback. Tests change the public parts before they
/// start the programs.
class deployment {
public:
    explicit deployment(std::uint8_t address_family);

    entry_node& add_entry(std::string name);
    target_node& add_target(std::string name);

    /// The catalogue's text with the present parts.
    std::string catalogue_text() const;
    /// Writes the catalogue file that the settings name.
    void write_catalogue() const;

    // Each one starts a program. Settings are written first; the catalogue is written when there is none.
    program& start_engine(std::string const& target, std::vector<std::string> options = {});
    program& start_agent(std::string const& target);
    program& start_entry(std::string const& entry);
    /// Starts any program under a name for its output.
    program& start(std::string const& name, std::string const& path, std::vector<std::string> const& arguments);
    /// The running or latest program with this name: "engine-TARGET", the target's or the entry's name.
    program& find(std::string const& name);

    /// Starts every engine, agent and entry and waits for readiness.
    void start_all(std::vector<std::string> const& engine_options = {});
    /// Waits until /readyz at the operators' address answers 200.
    void wait_ready(std::string const& operator_address);
    /// Waits until an entry has a link to each target named in the catalogue's generation services.
    void wait_linked(std::string const& entry);

    entry_node& entry(std::string const& name);
    target_node& target(std::string const& name);
    temporary_folder& folder() { return folder_; }
    loopback& addresses() { return addresses_; }
    /// Output of every program, for failure messages.
    std::string describe() const;

    std::uint64_t revision{1};
    /// YAML items of the lists in the catalogue.
    std::string failure_domains{"  - {name: domain-a, region: north}\n  - {name: domain-b, region: north}\n"};
    std::string services{"  - name: text\n    owner: tests\n    kind: generation\n    placement: {model: model-a, "
                         "version: \"1\", minimum_warm: 1}\n    default_output_tokens: 50\n"};
    std::string service_classes{"  - {name: interactive, owner: tests, goal: token_gap, queue_limit: 2000, "
                                "queue_deadline: 60 s}\n"};
    std::vector<organisation_node> organisations;
    /// YAML lines added to the settings of every daemon.
    std::string extra_settings{"drain_accept: 100 ms\n"};

private:
    std::string write_settings(std::string const& name, std::string const& text) const;
    std::string catalogue_path() const;

    temporary_folder folder_;
    loopback addresses_;
    std::vector<std::unique_ptr<entry_node>> entries_;
    std::vector<std::unique_ptr<target_node>> targets_;
    std::vector<std::unique_ptr<program>> programs_;
};

/// The headers of a call of an organisation.
header_list bearer(std::string const& key);

} // namespace cyclamenledge::tests::process
