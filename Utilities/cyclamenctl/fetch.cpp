#include "fetch.h"

#include "network/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>

#include <iostream>
#include <utility>

namespace cyclamenledge::control {

namespace {

constexpr std::size_t maximum_answer_bytes = 64UL * 1024 * 1024;
constexpr unsigned first_error_status = 400;

} // namespace

fetched fetch(std::string const& address, http::request message) {
    auto const endpoint = network::parse_endpoint(address);
    if (!endpoint) {
        std::cerr << "cyclamenctl: " << endpoint.error().message << '\n';
        return {exit_status::usage, 0, {}};
    }
    boost::asio::io_context context{1};
    std::optional<http::client_result<http::response>> answer;
    auto exchange = [&]() -> boost::asio::awaitable<void> {
        http::client_timeouts const timeouts;
        answer.emplace(co_await http::exchange(endpoint.value(), std::move(message), timeouts, maximum_answer_bytes));
    };
    boost::asio::co_spawn(context, exchange, boost::asio::detached);
    context.run();
    if (!answer || !*answer) {
        std::cerr << "cyclamenctl: " << address << ": "
                  << (answer ? answer->error().cause.message : "the exchange failed") << '\n';
        return {exit_status::unreachable, 0, {}};
    }
    auto& received = answer->value();
    bool const refused = received.result_int() >= first_error_status;
    if (refused)
        std::cerr << "cyclamenctl: " << address << " answered " << received.result_int() << ": " << received.body()
                  << '\n';
    return {refused ? exit_status::refused : exit_status::ok, received.result_int(), std::move(received.body())};
}

std::optional<boost::json::value> fetch_document(std::string const& address, std::string const& path,
                                                 exit_status& status) {
    auto const answer = fetch(address, http::make_request(http::beast_http::verb::get, path, {}));
    status = answer.status;
    if (status != exit_status::ok)
        return std::nullopt;
    boost::system::error_code code;
    auto document = boost::json::parse(answer.body, code);
    if (code || !document.is_object()) {
        std::cerr << "cyclamenctl: " << address << " answered no JSON object\n";
        status = exit_status::incomplete;
        return std::nullopt;
    }
    return document;
}

} // namespace cyclamenledge::control
