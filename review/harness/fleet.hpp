#pragma once

#include "runner.hpp"

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

/// Fills in a settings template as DEPLOY.md describes it. Values are texts; lists and tables are sections.
class settings_template {
public:
    std::map<std::string, std::string> values;
    /// Entries as pairs of key (or index) and value.
    std::map<std::string, std::vector<std::pair<std::string, std::string>>> sections;

    std::string fill(std::string text) const {
        for (auto const& [name, entries] : sections) {
            auto const begin_mark = "{{#" + name + "}}";
            auto const end_mark = "{{/" + name + "}}";
            for (auto begin = text.find(begin_mark); begin != std::string::npos; begin = text.find(begin_mark)) {
                auto const end = text.find(end_mark, begin);
                auto const inner = text.substr(begin + begin_mark.size(), end - begin - begin_mark.size());
                std::string filled;
                for (std::size_t number = 0; number < entries.size(); ++number) {
                    auto item = replace(inner, "{{.}}", entries[number].second);
                    item = replace(item, "{{@}}", entries[number].first);
                    filled += replace(item, "{{,}}", number + 1 < entries.size() ? "," : "");
                }
                text.replace(begin, end + end_mark.size() - begin, filled);
            }
        }
        for (auto const& [name, value] : values)
            text = replace(text, "{{" + name + "}}", value);
        return text;
    }

private:
    static std::string replace(std::string text, std::string const& what, std::string const& with) {
        for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + with.size()))
            text.replace(at, what.size(), with);
        return text;
    }
};

inline std::string read_file(std::string const& path) {
    std::ifstream file{path};
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

/// One process of the project, started with the command of the deploy file.
class daemon_process {
public:
    daemon_process(std::string name, std::vector<std::string> command, std::string output)
        : name_(std::move(name))
        , command_(std::move(command))
        , output_(std::move(output)) {
        start();
    }
    daemon_process(daemon_process const&) = delete;
    daemon_process& operator=(daemon_process const&) = delete;
    ~daemon_process() {
        if (!ended()) {
            kill(SIGKILL);
            ::waitpid(process_, nullptr, 0);
        }
    }
    std::string const& name() const { return name_; }
    pid_t id() const { return process_; }
    void kill(int signal) {
        if (!status_)
            ::kill(process_, signal);
    }
    /// The status of waitpid, if the process has ended.
    std::optional<int> ended() {
        int status = 0;
        if (!status_ && ::waitpid(process_, &status, WNOHANG) == process_) {
            status_ = status;
            if (WIFEXITED(status))
                say("process %s has ended with exit status %d", name_.c_str(), WEXITSTATUS(status));
            else
                say("process %s was ended by signal %d", name_.c_str(), WTERMSIG(status));
        }
        return status_;
    }
    void start() {
        status_.reset();
        process_ = ::fork();
        if (process_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            int const file = ::open(output_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(file, 1);
            ::dup2(file, 2);
            std::vector<char*> words;
            for (auto& word : command_)
                words.push_back(word.data());
            words.push_back(nullptr);
            ::execv(words.front(), words.data());
            ::_exit(127);
        }
        log("process %s is started as %d", name_.c_str(), static_cast<int>(process_));
    }

private:
    std::string name_;
    std::vector<std::string> command_;
    std::string output_;
    pid_t process_{-1};
    std::optional<int> status_;
};

struct route {
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    int timeout_ms{1200};
    int objective_ms{250};
    int attempts{1};
    bool resumable{false};
};

inline constexpr char const* host_name = "ficu95.example";
inline constexpr char const* api_key = "xd9dnn2ctnfzs989anu6";
inline constexpr std::array<std::pair<char const*, char const*>, 3> zones{
    {{"suva-a", "viti-levu"}, {"labasa-a", "vanua-levu"}, {"lakeba-a", "lau-group"}}};

/// A small deployment on loopback addresses: the store, runners, entries and agents.
class fleet {
public:
    static constexpr double contact_ms = 4000;
    static constexpr double drain_ms = 2500;
    static constexpr double config_ms = 2500;

    explicit fleet(std::string repository)
        : repository_(std::move(repository)) {
        // Runs at the same time use different networks of the loopback device.
        auto const process = static_cast<unsigned>(::getpid());
        network_ = "127." + std::to_string(20 + process / 250 % 200) + "." + std::to_string(process % 250 + 1) + ".";
        std::string pattern = "/tmp/review-XXXXXX";
        folder_ = ::mkdtemp(pattern.data());
        choose_ports();
    }
    ~fleet() {
        entries.clear();
        agents.clear();
        if (std::getenv("REVIEW_KEEP") == nullptr)
            std::filesystem::remove_all(folder_);
    }

    std::string ip(int number) const { return network_ + std::to_string(number); }
    std::string const& folder() const { return folder_; }

    /// Adds the runners of one service, one in each zone in turn.
    void add_runners(std::string const& service, int count, std::function<void(runner::place&)> const& adjust = {}) {
        for (int number = 0; number < count; ++number) {
            auto const total = static_cast<int>(runners.size());
            runner::place place{
                "i-" + service + "-" + std::to_string(number), service, zones[number % 3].first, {ip(100 + total), 0}};
            if (adjust)
                adjust(place);
            runners.push_back(std::make_unique<runner>(place, metadata, book));
            runners.back()->announce();
        }
    }

    /// Writes the next version of the configuration.
    void publish(std::vector<route> const& routes, std::vector<std::string> const& keys = {api_key}) {
        ++version_;
        std::string key_list;
        for (auto const& key : keys)
            key_list += (key_list.empty() ? "\"" : ",\"") + key + "\"";
        std::string list;
        std::map<std::string, bool> services;
        for (auto const& item : routes) {
            list += (list.empty() ? "" : ",") + std::string{"{\"name\":\""} + item.name + "\",\"hostname\":\"" +
                    host_name + "\",\"prefix\":\"" + item.prefix + "\",\"routeKind\":\"" + item.kind +
                    "\",\"timeoutMs\":" + std::to_string(item.timeout_ms) +
                    ",\"targetLatencyMs\":" + std::to_string(item.objective_ms) + ",\"priority\":1,\"service\":\"" +
                    item.service + "\",\"maxAttempts\":" + std::to_string(item.attempts) +
                    ",\"public\":false,\"sticky\":" + (item.kind == "streaming" ? "true" : "false") +
                    ",\"resumable\":" + (item.resumable ? "true" : "false") + ",\"gapAimMs\":180,\"homeRegions\":[]}";
            services[item.service] = false;
        }
        for (auto const& item : runners) {
            if (services.contains(item->where().service))
                services[item->where().service] = item->where().model;
        }
        std::string services_text;
        for (auto const& [name, model] : services) {
            services_text += (services_text.empty() ? "" : ",") + std::string{"{\"name\":\""} + name +
                             "\",\"healthPath\":\"/healthz\",\"maxConns\":222,\"protocol\":\"h1\",\"tls\":false,";
            services_text += model ? "\"coldS\":1.0,\"coldPerS\":38.0,\"engine\":{\"slots\":24,\"kvCapacity\":34206,"
                                     "\"kvTokenBytes\":163840,\"linkMbps\":24000.0,\"moves\":false,\"backups\":false,"
                                     "\"stride\":4,\"models\":[{\"name\":\"m\"}]}}"
                                   : "\"coldS\":0.0,\"coldPerS\":0.0}";
        }
        metadata.put("op/config",
                     "{\"version\":" + std::to_string(version_) + ",\"routes\":[" + list + "],\"services\":[" +
                         services_text +
                         "],\"limits\":{\"headerBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
                         "\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"huka270\",\"apiKeys\":[" +
                         key_list + "],\"priority\":1,\"homeRegions\":[]}]}");
    }

    /// Starts entries. The first three are the seeds.
    void add_entries(int count) {
        for (int number = 0; number < count; ++number) {
            auto const name = "front-" + std::to_string(number + 1);
            auto filled = common(name, ip(number + 1), number);
            filled.values["listen.front"] = entry_address(number).text();
            filled.values["listen.control"] = ip(number + 1) + ":" + std::to_string(control_port_);
            filled.values["listen.ready"] = ready_address(number).text();
            store_ports.push_back(metadata.open_port(ip(number + 1)));
            filled.values["provider.address"] = store_ports.back().text();
            for (int seed = 0; seed < std::min(3, count); ++seed)
                filled.sections["seeds"].emplace_back(std::to_string(seed),
                                                      ip(seed + 1) + ":" + std::to_string(control_port_));
            entries.push_back(start("entry", name, filled));
        }
    }

    /// Starts an agent beside each model runner that has none.
    void add_agents() {
        for (auto const& item : runners) {
            if (!item->where().model || !with_agent_.insert(item->where().id).second)
                continue;
            auto const number = static_cast<int>(with_agent_.size());
            auto const name = "side-" + std::to_string(number);
            auto filled = common(name, item->where().where.ip, number);
            filled.values["app"] = item->where().where.text();
            agents.push_back(start("agent", name, filled));
        }
    }

    address entry_address(int number) const { return {ip(number + 1), front_port_}; }
    address ready_address(int number) const { return {ip(number + 1), ready_port_}; }

    /// Waits until the entries say that they are ready.
    bool wait_until_ready(double longest = 15000) {
        for (auto const until = now_ms() + longest; now_ms() < until; sleep_ms(100)) {
            bool all = true;
            for (int number = 0; number < static_cast<int>(entries.size()); ++number) {
                auto const asked = channel::connect(ready_address(number));
                all = all && asked && asked->send("GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
                auto const answer = all ? asked->read_message(now_ms() + 500, true) : std::nullopt;
                all = all && answer && answer->status() == "200";
            }
            if (all) {
                say("all %zu entries are ready", entries.size());
                return true;
            }
        }
        say("the entries are not ready");
        return false;
    }

    store metadata;
    run_book book;
    std::vector<std::unique_ptr<runner>> runners;
    std::vector<std::unique_ptr<daemon_process>> entries;
    std::vector<std::unique_ptr<daemon_process>> agents;
    /// Ports of the store, one for each entry.
    std::vector<address> store_ports;

private:
    /// Ports below those that the system gives to outgoing connections, free at the addresses of all processes.
    void choose_ports() {
        int next = 10000 + static_cast<int>(::getpid()) * 7 % 15000;
        for (int* const port : {&front_port_, &control_port_, &ready_port_, &agent_port_, &operator_port_}) {
            bool free = false;
            while (!free) {
                ++next;
                free = true;
                for (int number = 1; number <= 120 && free; ++number)
                    free = is_free({ip(number), next});
            }
            *port = next;
        }
    }

    settings_template common(std::string const& name, std::string const& own_ip, int number) const {
        settings_template filled;
        filled.values = {{"nodeName", name},
                         {"zone", zones[static_cast<std::size_t>(number) % zones.size()].first},
                         {"ip", own_ip},
                         {"portRange.0", std::to_string(agent_port_)},
                         {"portRange.1", std::to_string(operator_port_)},
                         {"bounds.graceS", "8"},
                         {"bounds.budgetRatio", "0.2"},
                         {"bounds.budgetSlack", "54"},
                         {"bounds.budgetWindowS", "10"}};
        filled.sections["seeds"] = {};
        for (auto const& [zone, region] : zones)
            filled.sections["zones"].emplace_back(zone, region);
        return filled;
    }

    /// The command and the template of a role in the deploy file.
    std::unique_ptr<daemon_process> start(std::string const& role, std::string const& name,
                                          settings_template const& filled) {
        auto const deploy = read_file(repository_ + "/deploy/system.toml");
        auto const section = deploy.find("[roles." + role + "]");
        auto const value_of = [&](std::string const& key) {
            auto const at = deploy.find('"', deploy.find(key + " = ", section));
            return deploy.substr(at + 1, deploy.find('"', at + 1) - at - 1);
        };
        auto const settings = folder_ + "/" + name + ".yaml";
        std::ofstream{settings} << filled.fill(read_file(repository_ + "/" + value_of("template")));
        std::istringstream words{value_of("run")};
        std::vector<std::string> command;
        for (std::string word; words >> word;)
            command.push_back(word == "/etc/cyclamenledge/node.toml" ? settings : word);
        command.front() = repository_ + "/" + command.front();
        return std::make_unique<daemon_process>(name, command, folder_ + "/" + name + ".log");
    }

    std::string repository_;
    std::string network_;
    std::string folder_;
    int front_port_{0};
    int control_port_{0};
    int ready_port_{0};
    int agent_port_{0};
    int operator_port_{0};
    int version_{0};
    std::set<std::string> with_agent_;
};

} // namespace review
