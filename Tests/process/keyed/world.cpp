#include "world.h"

#include "once/idempotency_key.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/parse.hpp>
#include <boost/process/v2/stdio.hpp>
#include <cppunit/TestAssert.h>

#include <array>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

namespace cyclamenledge::tests {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace process = boost::process::v2;

namespace {

// The example key of the catalogue's example, with its digest.
constexpr char const* bearer = "Bearer koro-candles";
constexpr char const* bearer_digest = "5ae7d437d1d4aba594db80c7db564cbb7c79ec6f111e91d8caa766375703b02f";
constexpr unsigned entry_count = 3;
constexpr std::chrono::milliseconds poll{50};
// The key table runs nothing for 30 s after the start of an agent.
constexpr std::chrono::seconds longest_start{90};

struct target_row {
    char const* target;
    char const* service;
    unsigned number;
};
constexpr target_row targets[] = {
    {"paid-1", "paid", 1}, {"killed-1", "killed", 2}, {"paused-1", "paused", 3}, {"dropped-1", "dropped", 4},
    {"late-1", "late", 5}, {"moved-old", "moved", 6}, {"moved-new", "moved", 7}, {"absent-1", "absent", 8},
};

target_row const& row_of(std::string const& target) {
    for (auto const& row : targets) {
        if (target == row.target)
            return row;
    }
    throw std::invalid_argument(target);
}

std::string host(unsigned number) {
    return "127.2.1." + std::to_string(number);
}

std::string entry_host(unsigned number) {
    return host(100 + number);
}

std::string time_text(std::chrono::seconds before) {
    auto const at = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now() - before);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", std::gmtime(&at));
    return text.data();
}

answer exchange(std::string const& address, unsigned short port, http::request<http::string_body> message) {
    asio::io_context context;
    boost::beast::tcp_stream stream{context};
    boost::system::error_code code;
    stream.connect({asio::ip::make_address(address), port}, code);
    if (code)
        return {};
    message.set(http::field::host, address);
    message.prepare_payload();
    http::write(stream, message, code);
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    if (!code)
        http::read(stream, buffer, response, code);
    return code ? answer{} : answer{response.result_int(), response.body()};
}

std::string error_field(answer const& from, char const* name) {
    boost::system::error_code code;
    auto const parsed = boost::json::parse(from.body, code);
    if (code || !parsed.is_object() || !parsed.as_object().contains("error"))
        return {};
    return std::string(parsed.at("error").at(name).as_string());
}

} // namespace

boost::json::value answer::json() const {
    return boost::json::parse(body);
}

std::string answer::error_kind() const {
    return error_field(*this, "kind");
}

std::string answer::run() const {
    return error_field(*this, "run");
}

void wait_until(std::string const& what, std::chrono::seconds longest, std::function<bool()> const& condition) {
    auto const end = std::chrono::steady_clock::now() + longest;
    while (!condition()) {
        CPPUNIT_ASSERT_MESSAGE("not in time: " + what, std::chrono::steady_clock::now() < end);
        std::this_thread::sleep_for(poll);
    }
}

world& world::instance() {
    static world shared;
    return shared;
}

world::world()
    : folder_(std::filesystem::temp_directory_path() / ("cyclamenledge-keyed-" + std::to_string(::getpid()))) {
    std::filesystem::create_directories(folder_);
    write_catalogue();
    for (auto const& row : targets) {
        start_standin(row.target);
        start_agent(row.target);
    }
    for (unsigned number = 1; number <= entry_count; ++number)
        start_entry(number);
    await_first_runs();
}

world::~world() {
    for (auto& [name, item] : processes_) {
        boost::system::error_code ignored;
        item.terminate(ignored);
    }
}

void world::write_catalogue() const {
    std::ofstream out{folder_ + "/catalogue.yaml"};
    out << "rules: 1\nrevision: 1\nfailure_domains:\n  - {name: suva-a, region: Viti Levu, state: in_service}\n"
           "services:\n";
    for (std::string const service : {"paid", "killed", "paused", "dropped", "late", "moved", "absent"}) {
        out << "  - name: " << service
            << "\n    owner: test\n    kind: plain\n    call_rules:\n"
               "      - {method: GET, path_prefix: /stock, semantics: idempotent}\n"
               "      - {method: POST, path_prefix: /orders, semantics: non_idempotent}\n    key_owners:\n";
        if (service == "moved")
            out << "      - {from: \"" << time_text(std::chrono::hours{2})
                << "\", targets: [moved-old]}\n      - {from: \"" << time_text(std::chrono::hours{1})
                << "\", targets: [moved-new]}\n";
        else
            out << "      - {from: \"" << time_text(std::chrono::hours{2}) << "\", targets: [" << service << "-1]}\n";
        out << "    key_lifetime: 24 h\n";
    }
    out << "targets:\n";
    for (auto const& row : targets)
        out << "  - {name: " << row.target << ", service: " << row.service << ", failure_domain: suva-a, vm: vm-"
            << row.target << ", agent_address: \"" << host(row.number)
            << ":22001\", fencing: ignored, maximum_running: 8, warmup_floor: 4}\n";
    out << "entries:\n";
    for (unsigned number = 1; number <= entry_count; ++number)
        out << "  - {name: entry-" << number << ", failure_domain: suva-a, vm: vm-entry-" << number
            << ", peer_address: \"" << entry_host(number) << ":22101\"}\n";
    out << "service_classes:\n  - {name: web, owner: test, goal: token_gap, token_gap_target: 49 ms, "
           "first_token_target: "
           "390 ms, admission_quantile: 0.9, weight: 1, priority: 1, queue_limit: 8, queue_deadline: 3 s, crossing: "
           "when_full}\n"
           "organisations:\n  - name: koro-candles\n    owner: test\n    service_class: web\n    bearer_key_sha256: "
        << bearer_digest
        << "\n    services: [paid, killed, paused, dropped, late, moved, absent]\n"
           "    limits: {requests_per_second: 1000, concurrent_requests: 1000, tokens_per_second: 1000}\n";
}

void world::start_agent(std::string const& target) {
    auto const address = host(row_of(target).number);
    auto const path = folder_ + "/agent-" + target + ".yaml";
    std::ofstream{path} << "role: agent\nname: " << target << "\nfailure_domain: suva-a\nvm: vm-" << target
                        << "\npeer_address: \"" << address << ":22001\"\noperator_address: \"" << address
                        << ":22201\"\ntarget_address: \"" << address << ":22301\"\ncatalogue_file: " << folder_
                        << "/catalogue.yaml\nshared_keys: [keyed-test-key-0123456789]\n";
    start("agent-" + target, DAEMON_PROGRAM, {"--config", path});
}

void world::start_entry(unsigned number) {
    auto const name = "entry-" + std::to_string(number);
    auto const address = entry_host(number);
    auto const path = folder_ + "/" + name + ".yaml";
    std::ofstream{path} << "role: entry\nname: " << name << "\nfailure_domain: suva-a\nvm: vm-" << name
                        << "\ncaller_address: \"" << address << ":22111\"\npeer_address: \"" << address
                        << ":22101\"\noperator_address: \"" << address << ":22121\"\ncatalogue_file: " << folder_
                        << "/catalogue.yaml\nshared_keys: [keyed-test-key-0123456789]\n";
    start(name, DAEMON_PROGRAM, {"--config", path});
}

void world::start_standin(std::string const& target) {
    auto const address = host(row_of(target).number) + ":22301";
    start("service-" + target, STANDIN_PROGRAM, {"service", "--listen", address});
}

void world::start(std::string const& name, char const* program, std::vector<std::string> const& arguments) {
    auto const log = std::filesystem::path{folder_ + "/" + name + ".log"};
    processes_.erase(name);
    processes_.emplace(name, process::process(context_.get_executor(), program, arguments,
                                              process::process_stdio{nullptr, nullptr, log}));
}

void world::await_first_runs() {
    for (auto const& row : targets) {
        if (std::string{row.target} == "moved-old")
            continue;
        wait_until("first run of " + std::string(row.service), longest_start, [&] {
            return call(1, {row.service, issue_key(), "{}", 5000}).status == 201 &&
                   call(2, {row.service, issue_key(), "{}", 5000}).status == 201 &&
                   call(3, {row.service, issue_key(), "{}", 5000}).status == 201;
        });
    }
}

std::string world::issue_key() {
    http::request<http::string_body> message{http::verb::post, "/v1/idempotency-keys", 11};
    auto const issued = exchange(entry_host(1), 22111, message);
    return issued.status == 201 ? std::string(issued.json().at("key").as_string()) : "entry-not-ready";
}

answer world::call(unsigned entry, keyed_call const& wanted) {
    http::request<http::string_body> message{http::verb::post, "/v1/services/" + wanted.service + "/orders", 11};
    message.set(http::field::authorization, bearer);
    message.set("Idempotency-Key", wanted.key);
    message.set("X-Request-Deadline-Ms", std::to_string(wanted.deadline_ms));
    message.body() = wanted.body;
    return exchange(entry_host(entry), 22111, message);
}

answer world::get(unsigned entry, std::string const& path) {
    http::request<http::string_body> message{http::verb::get, path, 11};
    message.set(http::field::authorization, bearer);
    return exchange(entry_host(entry), 22111, message);
}

answer world::inquire(unsigned entry, std::string const& service, std::string const& key) {
    return get(entry, "/v1/idempotency-keys/" + service + "/" + key);
}

std::uint64_t world::executions(std::string const& target, std::string const& key) {
    auto const counted = exchange(host(row_of(target).number), 22301, {http::verb::get, "/executions", 11}).json();
    auto const* count = counted.at("by_key").as_object().if_contains(key);
    return count == nullptr ? 0 : count->to_number<std::uint64_t>();
}

void world::set_faults(std::string const& target, std::string const& json) {
    http::request<http::string_body> message{http::verb::post, "/faults", 11};
    message.body() = json;
    CPPUNIT_ASSERT_EQUAL(200U, exchange(host(row_of(target).number), 22301, message).status);
}

boost::json::value world::agent_state(std::string const& target) {
    auto const state = exchange(host(row_of(target).number), 22201, {http::verb::get, "/state", 11});
    return state.status == 200 ? state.json() : boost::json::value{};
}

} // namespace cyclamenledge::tests
