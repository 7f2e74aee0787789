#include "generator.h"
#include "http/client.h"
#include "network/endpoint.h"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <iostream>

namespace {

using namespace cyclamenledge;

constexpr std::size_t maximum_executions_bytes = 64UL * 1024 * 1024;

/// Asks the service stand-in how often it has executed each key: an object of counts by key.
boost::asio::awaitable<void> count_duplicates(boost::asio::ip::tcp::endpoint service, load::report& result) {
    auto message = http::make_request(http::beast_http::verb::get, "/executions", {});
    http::client_timeouts const timeouts;
    auto const answer = co_await http::exchange(service, std::move(message), timeouts, maximum_executions_bytes);
    boost::system::error_code code;
    auto const counts = answer ? boost::json::parse(answer.value().body(), code) : boost::json::value{};
    if (code || !counts.is_object())
        co_return;
    result.keyed_duplicates = std::max<std::int64_t>(result.keyed_duplicates, 0);
    for (auto const& item : counts.as_object()) {
        if (item.value().is_int64())
            result.keyed_duplicates += std::max<std::int64_t>(item.value().as_int64() - 1, 0);
    }
}

base::result<std::vector<boost::asio::ip::tcp::endpoint>> parse_all(std::vector<std::string> const& texts) {
    std::vector<boost::asio::ip::tcp::endpoint> result;
    for (auto const& text : texts) {
        BOOST_OUTCOME_TRY(auto const endpoint, network::parse_endpoint(text));
        result.push_back(endpoint);
    }
    return result;
}

} // namespace

int main(int argument_count, char** arguments) {
    CLI::App app{"Generates seeded load on entries whose engines are stand-ins, and prints the result as JSON"};
    app.footer("Exit status: 0 when no token was lost, repeated or crossed and no key executed twice, 1 otherwise, "
               "2 wrong usage.");
    load::plan plan;
    std::vector<std::string> entries;
    std::vector<std::string> services;
    app.add_option("--entry", entries, "Callers' address of an entry, IP:PORT; may be repeated")->required();
    app.add_option("--key", plan.keys, "Bearer key of an organisation; may be repeated")->required();
    app.add_option("--service", plan.service, "Generation service to call")->required();
    app.add_option("--rate", plan.requests_per_second, "Requests per second")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--duration", plan.seconds, "Seconds in which requests are sent")->capture_default_str();
    app.add_option("--mean-length", plan.mean_length, "Mean output length in tokens")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.add_option("--maximum-length", plan.maximum_length, "Longest output in tokens")->capture_default_str();
    app.add_option("--stall-ms", plan.stall_threshold_ms, "Gaps beyond this time count as stall")
        ->capture_default_str();
    app.add_option("--seed", plan.seed, "Seed of arrivals, lengths and organisations")->capture_default_str();
    app.add_option("--keyed-share", plan.keyed_share, "Share of arrivals that are keyed calls")
        ->check(CLI::Range(0.0, 1.0))
        ->capture_default_str();
    app.add_option("--keyed-path", plan.keyed_path, "Path of keyed calls, as SERVICE/PATH")->default_str("");
    app.add_option("--executions", services, "Address of a service stand-in to ask for duplicates; may be repeated");
    try {
        app.parse(argument_count, arguments);
    } catch (CLI::ParseError const& failure) {
        return app.exit(failure) == 0 ? 0 : 2;
    }
    auto const parsed = parse_all(entries);
    auto const asked = parse_all(services);
    if (!parsed || !asked) {
        std::cerr << "cyclamen-load: " << (parsed ? asked.error() : parsed.error()).message << '\n';
        return 2;
    }
    plan.entries = parsed.value();

    boost::asio::io_context context{1};
    load::generator work{context, plan};
    boost::asio::co_spawn(context, work.run(), boost::asio::detached);
    context.run();
    for (auto const& service : asked.value()) {
        context.restart();
        boost::asio::co_spawn(context, count_duplicates(service, work.result()), boost::asio::detached);
        context.run();
    }
    auto const& result = work.result();
    std::cout << boost::json::serialize(result.to_json()) << '\n';
    bool const clean = result.lost_tokens == 0 && result.repeated_tokens == 0 && result.crossed_tokens == 0 &&
                       result.keyed_duplicates <= 0;
    return clean ? 0 : 1;
}
