#pragma once

#include "base/digest.h"
#include "base/time.h"
#include "catalogue/catalogue_reader.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/io.hpp>
#include <cppunit/TestAssert.h>

#include <csignal>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace cyclamenledge::tests {

using namespace std::chrono_literals;

struct http_answer {
    unsigned status{0};
    std::string body;
};

struct fleet_organisation {
    std::string name;
    std::string head_office;
    double requests_per_second{0};
    double stretch{0};
};

/// Entries, agents and stand-in engines of one model service on loopback. Each test uses its own third octet. To be
/// replaced by Tests/support/process when that is merged.
class fleet {
public:
    fleet(int octet, std::size_t entries, std::size_t targets, std::vector<fleet_organisation> organisations)
        : prefix_("127.5." + std::to_string(octet) + ".")
        , folder_(std::filesystem::temp_directory_path() /
                  ("process_limits_" + std::to_string(::getpid()) + "_" + std::to_string(octet)))
        , organisations_(std::move(organisations)) {
        std::filesystem::create_directories(folder_);
        write("catalogue.yaml", catalogue_text(entries, targets));
        for (std::size_t i = 0; i < targets; ++i) {
            start(engine(i), CYCLAMEN_STANDIN,
                  {"engine", "--listen", engine_address(i), "--speed", "20", "--restart-ms", "300"});
            start_daemon("agent", target(i), "target_address: \"" + engine_address(i) + "\"\n", 1 + i,
                         "vm-" + target(i));
        }
        for (std::size_t i = 0; i < entries; ++i)
            start_daemon("entry", entry(i), "caller_address: \"" + address(100 + i, 31300) + "\"\nthreads: 2\n",
                         100 + i, "vm-" + entry(i));
        for (std::size_t i = 0; i < entries; ++i)
            wait_until("all targets are linked", [&] {
                auto const answer = request(address(100 + i, 31200), "GET", "/state", "");
                return answer && count(answer->body, R"("link_up":true)") >= targets;
            });
    }
    ~fleet() {
        for (auto& [name, child] : children_)
            kill(name);
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }
    fleet(fleet const&) = delete;
    fleet& operator=(fleet const&) = delete;

    static std::string entry(std::size_t index) { return "entry-" + std::to_string(index); }
    static std::string target(std::size_t index) { return "target-" + std::to_string(index); }
    static std::string engine(std::size_t index) { return "engine-" + std::to_string(index); }

    /// Without an answer when the process cannot be reached or the connection is lost.
    std::optional<http_answer> complete(std::size_t from, std::string const& organisation, std::string const& prompt) {
        return request(address(100 + from, 31300), "POST", "/v1/completions",
                       R"({"model":"words","prompt":")" + prompt + R"(","stream":false})", "key-" + organisation);
    }
    std::string state_of_entry(std::size_t index) {
        auto const answer = request(address(100 + index, 31200), "GET", "/state", "");
        return answer ? answer->body : std::string{};
    }
    std::string state_of_agent(std::size_t index) {
        auto const answer = request(address(1 + index, 31200), "GET", "/state", "");
        return answer ? answer->body : std::string{};
    }
    std::string metrics_of_entry(std::size_t index) {
        auto const answer = request(address(100 + index, 31200), "GET", "/metrics", "");
        return answer ? answer->body : std::string{};
    }
    std::optional<http_answer> ask_engine(std::size_t index, std::string const& method, std::string const& path,
                                          std::string const& body) {
        return request(engine_address(index), method, path, body);
    }

    /// Why the last request of this thread had no answer.
    static std::string const& last_failure() { return last_failure_; }

    catalogue::catalogue_pointer published() const {
        std::ifstream file{folder_ / "catalogue.yaml"};
        std::string const text{std::istreambuf_iterator<char>{file}, {}};
        auto const read = catalogue::read_catalogue(text, "catalogue.yaml");
        CPPUNIT_ASSERT_MESSAGE(read ? "" : read.error().message, read.has_value());
        return read.value();
    }

    std::string log_of(std::string const& name) const {
        std::ifstream file{folder_ / (name + ".log")};
        return {std::istreambuf_iterator<char>{file}, {}};
    }

    /// Ends a process at once, without a planned stop.
    void kill(std::string const& name) {
        auto const found = children_.find(name);
        if (found == children_.end() || !found->second.valid())
            return;
        ::kill(found->second.id(), SIGKILL);
        std::error_code ignored;
        found->second.wait(ignored);
    }

    template <class Condition>
    static void wait_until(std::string const& what, Condition const& condition) {
        auto const limit = base::clock::now() + 60s;
        while (!condition()) {
            CPPUNIT_ASSERT_MESSAGE("not within 60 s: " + what, base::clock::now() < limit);
            std::this_thread::sleep_for(20ms);
        }
    }
    static std::size_t count(std::string const& text, std::string const& part) {
        std::size_t found = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size()))
            ++found;
        return found;
    }

private:
    std::string address(std::size_t host, unsigned port) const {
        return prefix_ + std::to_string(host) + ":" + std::to_string(port);
    }
    std::string engine_address(std::size_t index) const { return address(1 + index, 31400); }

    void write(std::string const& name, std::string const& text) const { std::ofstream{folder_ / name} << text; }

    std::string catalogue_text(std::size_t entries, std::size_t targets) const {
        std::string text = "rules: 1\nrevision: 1\nfailure_domains:\n  - {name: a, region: R, state: in_service}\n"
                           "services:\n  - name: words\n    owner: o\n    kind: generation\n"
                           "    placement: {model: m, version: \"1\", minimum_warm: 1}\n    default_output_tokens: 8\n"
                           "targets:\n";
        for (std::size_t i = 0; i < targets; ++i)
            text += "  - {name: " + target(i) + ", service: words, failure_domain: a, vm: vm-" + target(i) +
                    ", agent_address: \"" + address(1 + i, 31100) +
                    "\", fencing: checked, memory_tokens: 100000, maximum_running: 64, warmup_floor: 32}\n";
        text += "entries:\n";
        for (std::size_t i = 0; i < entries; ++i)
            text += "  - {name: " + entry(i) + ", failure_domain: a, vm: vm-" + entry(i) + ", peer_address: \"" +
                    address(100 + i, 31100) + "\"}\n";
        text +=
            "service_classes:\n  - {name: c, owner: o, goal: token_gap, token_gap_target: 49 ms, first_token_target:"
            " 390 ms, admission_quantile: 0.8, weight: 1, priority: 1, queue_limit: 64, queue_deadline: 5 s,"
            " crossing: always}\norganisations:\n";
        for (auto const& item : organisations_) {
            text += "  - name: " + item.name + "\n    owner: o\n    service_class: c\n    services: [words]\n";
            text += "    bearer_key_sha256: " + base::sha256_hex("key-" + item.name) + "\n";
            if (!item.head_office.empty())
                text +=
                    "    head_office: " + item.head_office + "\n    stretch: " + std::to_string(item.stretch) + "\n";
            if (item.requests_per_second > 0)
                text += "    limits: {requests_per_second: " + std::to_string(item.requests_per_second) + "}\n";
        }
        return text;
    }

    void start_daemon(std::string const& role, std::string const& name, std::string const& own, std::size_t host,
                      std::string const& vm) {
        write(name + ".yaml", "role: " + role + "\nname: " + name + "\nfailure_domain: a\nvm: " + vm +
                                  "\npeer_address: \"" + address(host, 31100) + "\"\noperator_address: \"" +
                                  address(host, 31200) + "\"\n" + own +
                                  "catalogue_file: " + (folder_ / "catalogue.yaml").string() +
                                  "\nshared_keys: [process-limits-shared-key]\n");
        start(name, CYCLAMENLEDGED, {"--config", (folder_ / (name + ".yaml")).string()});
    }
    void start(std::string const& name, std::string const& program, std::vector<std::string> const& arguments) {
        namespace process = boost::process;
        auto const log = (folder_ / (name + ".log")).string();
        children_.emplace(
            name, process::child(program, process::args(arguments), (process::std_out & process::std_err) > log));
    }

    std::optional<http_answer> request(std::string const& address, std::string const& method, std::string const& path,
                                       std::string const& body, std::string const& bearer = "") {
        namespace beast_http = boost::beast::http;
        using tcp = boost::asio::ip::tcp;
        try {
            boost::asio::io_context context;
            tcp::socket socket{context};
            auto const colon = address.find(':');
            socket.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))});
            beast_http::request<beast_http::string_body> message{beast_http::string_to_verb(method), path, 11};
            message.set(beast_http::field::host, address);
            message.set(beast_http::field::connection, "close");
            if (!bearer.empty())
                message.set(beast_http::field::authorization, "Bearer " + bearer);
            message.body() = body;
            message.prepare_payload();
            beast_http::write(socket, message);
            boost::beast::flat_buffer buffer;
            beast_http::response<beast_http::string_body> answer;
            beast_http::read(socket, buffer, answer);
            return http_answer{answer.result_int(), answer.body()};
        } catch (boost::system::system_error const& failure) {
            last_failure_ = failure.what();
            return std::nullopt;
        }
    }

    std::string prefix_;
    static inline thread_local std::string last_failure_;
    std::filesystem::path folder_;
    std::vector<fleet_organisation> organisations_;
    std::map<std::string, boost::process::child> children_;
};

} // namespace cyclamenledge::tests
