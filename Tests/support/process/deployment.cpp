#include "support/process/deployment.h"

#include "base/digest.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace cyclamenledge::tests::process {

namespace {

constexpr std::string_view shared_key = "process-test-shared-key";

template <class Nodes>
auto& find_named(Nodes& nodes, std::string const& name) {
    auto const found = std::ranges::find_if(nodes, [&](auto const& node) { return node->name == name; });
    if (found == nodes.end())
        throw std::invalid_argument("no part named " + name);
    return **found;
}

std::string line(std::string_view key, std::string const& value) {
    return std::string(key) + ": \"" + value + "\"\n";
}

std::string common_settings(std::string_view role, std::string const& name, std::string const& failure_domain) {
    return line("role", std::string(role)) + line("name", name) + line("failure_domain", failure_domain) +
           line("vm", "vm-" + name) + "shared_keys: [" + std::string(shared_key) + "]\n";
}

} // namespace

header_list bearer(std::string const& key) {
    return {{"Authorization", "Bearer " + key}, {"Content-Type", "application/json"}};
}

deployment::deployment(std::uint8_t address_family)
    : addresses_(address_family) {
    organisations.push_back({"head-office", "head-office-key"});
}

entry_node& deployment::add_entry(std::string name) {
    auto& node = *entries_.emplace_back(std::make_unique<entry_node>());
    node.name = std::move(name);
    node.peer_address = addresses_.next();
    node.operator_address = addresses_.next();
    node.caller_address = addresses_.next();
    return node;
}

target_node& deployment::add_target(std::string name) {
    auto& node = *targets_.emplace_back(std::make_unique<target_node>());
    node.name = std::move(name);
    node.peer_address = addresses_.next();
    node.operator_address = addresses_.next();
    node.target_address = addresses_.next();
    return node;
}

std::string deployment::catalogue_text() const {
    std::string text = "rules: 1\nrevision: " + std::to_string(revision) + "\nfailure_domains:\n" + failure_domains +
                       "services:\n" + services + "targets:\n";
    for (auto const& node : targets_) {
        text += "  - name: " + node->name + "\n    service: " + node->service +
                "\n    failure_domain: " + node->failure_domain + "\n    vm: vm-" + node->name +
                "\n    agent_address: \"" + node->peer_address +
                "\"\n    fencing: checked\n    maximum_running: " + std::to_string(node->maximum_running) +
                "\n    warmup_floor: " + std::to_string(node->warmup_floor) + "\n    state: " + node->state + "\n";
        if (node->memory_tokens > 0)
            text += "    memory_tokens: " + std::to_string(node->memory_tokens) + "\n";
    }
    text += "entries:\n";
    for (auto const& node : entries_) {
        text += "  - name: " + node->name + "\n    failure_domain: " + node->failure_domain + "\n    vm: vm-" +
                node->name + "\n    peer_address: \"" + node->peer_address + "\"\n";
    }
    text += "service_classes:\n" + service_classes + "organisations:\n";
    for (auto const& node : organisations) {
        text += "  - name: " + node.name + "\n    owner: tests\n    service_class: interactive\n    " +
                "bearer_key_sha256: \"" + base::sha256_hex(node.bearer_key) + "\"\n    " + node.fields;
    }
    return text;
}

std::string deployment::catalogue_path() const {
    return (folder_.path() / "catalogue.yaml").string();
}

void deployment::write_catalogue() const {
    folder_.write("catalogue.yaml", catalogue_text());
}

std::string deployment::write_settings(std::string const& name, std::string const& text) const {
    if (!std::filesystem::exists(catalogue_path()))
        write_catalogue();
    return folder_.write(name + ".yaml", text + line("catalogue_file", catalogue_path()) + extra_settings);
}

program& deployment::start(std::string const& name, std::string const& path,
                           std::vector<std::string> const& arguments) {
    // The latest program with a name is found first; its output replaces that of the earlier one.
    return **programs_.insert(programs_.begin(), std::make_unique<program>(folder_, name, path, arguments));
}

program& deployment::start_engine(std::string const& target, std::vector<std::string> options) {
    options.insert(options.begin(), {"engine", "--listen", this->target(target).target_address});
    return start("engine-" + target, standin_path(), options);
}

program& deployment::start_agent(std::string const& target) {
    auto const& node = this->target(target);
    auto const text = common_settings("agent", node.name, node.failure_domain) +
                      line("peer_address", node.peer_address) + line("operator_address", node.operator_address) +
                      line("target_address", node.target_address);
    return start(target, daemon_path(), {"--config", write_settings(target, text)});
}

program& deployment::start_entry(std::string const& entry) {
    auto const& node = this->entry(entry);
    auto const text = common_settings("entry", node.name, node.failure_domain) +
                      line("peer_address", node.peer_address) + line("operator_address", node.operator_address) +
                      line("caller_address", node.caller_address) + "threads: 2\n";
    return start(entry, daemon_path(), {"--config", write_settings(entry, text)});
}

program& deployment::find(std::string const& name) {
    auto const found =
        std::ranges::find_if(programs_, [&](auto const& candidate) { return candidate->name() == name; });
    if (found == programs_.end())
        throw std::invalid_argument("no program named " + name);
    return **found;
}

void deployment::start_all(std::vector<std::string> const& engine_options) {
    for (auto const& node : targets_) {
        start_engine(node->name, engine_options);
        start_agent(node->name);
    }
    for (auto const& node : targets_)
        wait_ready(node->operator_address);
    for (auto const& node : entries_)
        start_entry(node->name);
    for (auto const& node : entries_) {
        wait_ready(node->operator_address);
        wait_linked(node->name);
    }
}

void deployment::wait_ready(std::string const& operator_address) {
    bool const ready = holds_within(patience, [&] { return get(operator_address, "/readyz").status == 200; });
    CPPUNIT_ASSERT_MESSAGE("not ready: " + operator_address + "\n" + describe(), ready);
}

void deployment::wait_linked(std::string const& entry) {
    auto const& address = this->entry(entry).operator_address;
    bool const linked = holds_within(patience, [&] {
        auto const state = get(address, "/state").json();
        if (!state.is_object() || !state.as_object().contains("targets"))
            return false;
        auto const& targets = state.at("targets").as_array();
        return std::ranges::all_of(targets, [](auto const& item) { return item.at("link_up").as_bool(); });
    });
    CPPUNIT_ASSERT_MESSAGE("not linked: " + entry + "\n" + describe(), linked);
}

entry_node& deployment::entry(std::string const& name) {
    return find_named(entries_, name);
}

target_node& deployment::target(std::string const& name) {
    return find_named(targets_, name);
}

std::string deployment::describe() const {
    std::string text;
    for (auto const& item : programs_)
        text += item->describe() + "\n";
    return text;
}

} // namespace cyclamenledge::tests::process
