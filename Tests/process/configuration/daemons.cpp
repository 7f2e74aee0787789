#include "daemons.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/process/args.hpp>
#include <boost/process/io.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace cyclamenledge::tests {

namespace beast = boost::beast;

namespace {

constexpr std::chrono::milliseconds poll_interval{10};
constexpr std::chrono::seconds exchange_limit{10};

http_answer exchange(beast::http::verb method, std::string const& address, std::string const& path,
                     std::string const& body) {
    auto const colon = address.rfind(':');
    boost::asio::io_context context;
    beast::tcp_stream stream{context};
    beast::error_code code;
    stream.expires_after(exchange_limit);
    stream.connect({boost::asio::ip::make_address(address.substr(0, colon)),
                    static_cast<unsigned short>(std::stoul(address.substr(colon + 1)))},
                   code);
    if (code)
        return {};
    beast::http::request<beast::http::string_body> message{method, path, 11};
    message.set(beast::http::field::host, "test");
    message.set(beast::http::field::authorization, "Bearer test-key");
    message.set(beast::http::field::connection, "close");
    message.body() = body;
    message.prepare_payload();
    beast::http::write(stream, message, code);
    beast::flat_buffer buffer;
    beast::http::response<beast::http::string_body> answer;
    if (!code)
        beast::http::read(stream, buffer, answer, code);
    return code ? http_answer{} : http_answer{answer.result_int(), answer.body()};
}

std::string domain_of(unsigned number) {
    return number == 3 ? "south-a" : "north-a";
}

std::string address(unsigned network, unsigned number, unsigned port) {
    return "127.3." + std::to_string(network) + "." + std::to_string(number) + ":" + std::to_string(port);
}

} // namespace

http_answer http_get(std::string const& address, std::string const& path) {
    return exchange(beast::http::verb::get, address, path, {});
}

http_answer http_post(std::string const& address, std::string const& path, std::string const& body) {
    return exchange(beast::http::verb::post, address, path, body);
}

boost::json::object get_object(std::string const& address, std::string const& path) {
    boost::system::error_code code;
    auto const parsed = boost::json::parse(http_get(address, path).body, code);
    return !code && parsed.is_object() ? parsed.get_object() : boost::json::object{};
}

bool wait_until(std::chrono::milliseconds limit, std::function<bool()> const& condition) {
    auto const end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

std::string catalogue_text(catalogue_options const& options) {
    std::string text =
        "rules: 1\nrevision: " + std::to_string(options.revision) +
        "\nfailure_domains:\n  - {name: north-a, region: North}\n  - {name: south-a, region: South, state: " +
        (options.south_in_service ? "in_service" : "out_of_service") +
        "}\nservices:\n  - name: wording\n    owner: text-team\n    kind: generation\n"
        "    placement: {model: lantern, version: \"3\", minimum_warm: 1}\n"
        "    default_output_tokens: 50\ntargets:\n";
    for (unsigned number = 1; number <= 3; ++number) {
        auto const digit = std::to_string(number);
        text += "  - {name: wording-" + digit + ", service: wording, failure_domain: " + domain_of(number) +
                ", vm: vm-w" + digit + ", agent_address: \"" + address(1, number, 41001) +
                "\", memory_tokens: 50000}\n";
    }
    text += "entries:\n";
    for (unsigned number = 1; number <= 3; ++number) {
        auto const digit = std::to_string(number);
        text += "  - {name: entry-" + digit + ", failure_domain: " + domain_of(number) + ", vm: vm-e" + digit +
                ", peer_address: \"" + address(2, number, 41001) + "\"}\n";
    }
    // The digest belongs to the bearer key "test-key".
    return text +
           "service_classes:\n  - {name: interactive, owner: text-team, goal: token_gap, token_gap_target: 49 ms, "
           "admission_quantile: 0.8, queue_deadline: 5 s}\norganisations:\n  - name: head\n"
           "    owner: sales\n    service_class: interactive\n    bearer_key_sha256: "
           "\"62af8704764faf8ea82fc61ce9c4c3908b6cb97d463a634e9e587d7c885db0ef\"\n    services: [wording]\n"
           "    limits: {requests_per_second: 1000, concurrent_requests: 2000, tokens_per_second: 100000}\n";
}

daemons::daemons()
    : folder_(std::filesystem::temp_directory_path() / ("cyclamenledge-configuration-" + std::to_string(getpid()))) {
    std::filesystem::create_directories(folder_);
}

daemons::~daemons() {
    for (auto& child : children_)
        kill(child.id(), SIGKILL);
    for (auto& child : children_)
        child.wait();
}

std::string daemons::write(std::string const& name, std::string const& text) const {
    auto const path = folder_ / name;
    std::ofstream{path} << text;
    return path.string();
}

void daemons::spawn(std::string const& name, std::string const& program, std::vector<std::string> const& arguments) {
    children_.emplace_back(program, boost::process::args(arguments),
                           boost::process::std_err > (folder_ / (name + ".log")).string());
}

void daemons::start_config_service(std::string const& catalogue) {
    spawn("config", CYCLAMENLEDGE_STANDIN,
          {"config", "--listen", config_address(), "--catalogue", write("catalogue.yaml", catalogue)});
}

void daemons::start_vm_list() {
    std::vector<std::string> arguments{"vms", "--listen", vms_address()};
    for (auto const* vm : {"vm-w1", "vm-w2", "vm-w3", "vm-e1", "vm-e2", "vm-e3"}) {
        arguments.emplace_back("--vm");
        arguments.emplace_back(vm);
    }
    spawn("vms", CYCLAMENLEDGE_STANDIN, arguments);
}

void daemons::start_engine(unsigned number) {
    spawn("engine-" + std::to_string(number), CYCLAMENLEDGE_STANDIN, {"engine", "--listen", address(1, number, 41004)});
}

void daemons::start_agent(unsigned number) {
    auto const digit = std::to_string(number);
    auto const text = "role: agent\nname: wording-" + digit + "\nfailure_domain: " + domain_of(number) + "\nvm: vm-w" +
                      digit + "\npeer_address: \"" + address(1, number, 41001) + "\"\noperator_address: \"" +
                      agent_operator(number) + "\"\ntarget_address: \"" + address(1, number, 41004) +
                      "\"\nvm_list_address: \"" + vms_address() + "\"\nshared_keys: [example-shared-key-for-tests]\n";
    spawn("agent-" + digit, CYCLAMENLEDGE_DAEMON, {"--config", write("agent-" + digit + ".yaml", text)});
}

void daemons::start_entry(unsigned number, bool with_service) {
    auto const digit = std::to_string(number);
    auto text = "role: entry\nname: entry-" + digit + "\nfailure_domain: " + domain_of(number) + "\nvm: vm-e" + digit +
                "\ncaller_address: \"" + caller_address(number) + "\"\npeer_address: \"" + address(2, number, 41001) +
                "\"\noperator_address: \"" + entry_operator(number) + "\"\nvm_list_address: \"" + vms_address() +
                "\"\nshared_keys: [example-shared-key-for-tests]\npeers: [\"" + address(2, number == 1 ? 2 : 1, 41001) +
                "\"]\n";
    if (with_service)
        text += "configuration_address: \"" + config_address() + "\"\n";
    spawn("entry-" + digit, CYCLAMENLEDGE_DAEMON, {"--config", write("entry-" + digit + ".yaml", text)});
}

void daemons::configure(boost::json::object const& faults) const {
    http_post(config_address(), "/faults", boost::json::serialize(faults));
}

void daemons::set_vm(std::string const& name, std::string const& state) const {
    http_post(vms_address(), "/faults", boost::json::serialize(boost::json::object{{"vm", name}, {"state", state}}));
}

std::string daemons::caller_address(unsigned number) {
    return address(2, number, 41002);
}

std::string daemons::entry_operator(unsigned number) {
    return address(2, number, 41003);
}

std::string daemons::agent_operator(unsigned number) {
    return address(1, number, 41003);
}

std::uint64_t daemons::revision_of(std::string const& operator_address) {
    auto const state = get_object(operator_address, "/state");
    auto const* configuration = state.if_contains("configuration");
    return configuration == nullptr ? 0 : configuration->at("revision").to_number<std::uint64_t>();
}

bool daemons::ready(std::string const& operator_address) {
    return http_get(operator_address, "/readyz").status == 200;
}

} // namespace cyclamenledge::tests
