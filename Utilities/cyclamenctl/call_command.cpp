#include "call_command.h"

#include "base/time.h"
#include "fetch.h"
#include "http/completion_stream.h"
#include "network/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <vector>

namespace cyclamenledge::control {

namespace {

constexpr base::milliseconds answer_timeout{600000};
constexpr http::client_timeouts timeouts{base::milliseconds{5000}, answer_timeout};

double milliseconds_since(base::time_point start) {
    return base::to_seconds(base::clock::now() - start) * 1000;
}

void print_times(double first_token, std::vector<double> gaps) {
    std::cerr << std::fixed << std::setprecision(1) << "tokens " << gaps.size() + 1 << ", time to first token "
              << first_token << " ms";
    if (!gaps.empty()) {
        std::ranges::sort(gaps);
        std::cerr << ", token gaps: median " << gaps[gaps.size() / 2] << " ms, longest " << gaps.back() << " ms";
    }
    std::cerr << '\n';
}

} // namespace

void call_command::add_options(CLI::App& options) {
    options.add_option("ADDRESS", address_, "Callers' address of an entry, IP:PORT")->required();
    options.add_option("--key", key_, "Bearer key of the organisation")->required();
    options.add_option("--service", service_, "Service to call")->required();
    options.add_option("--prompt", prompt_, "Prompt of a completion")->capture_default_str();
    options.add_option("--max-tokens", max_tokens_, "Longest completion; 0 for no bound")->capture_default_str();
    auto* path = options.add_option("--path", path_, "Makes a plain call to this path of the service");
    options.add_option("--method", method_, "Method of a plain call")->needs(path)->capture_default_str();
    options.add_option("--body", body_, "Body of a plain call")->needs(path);
    options.add_option("--idempotency-key", idempotency_key_, "Idempotency key of a plain call")->needs(path);
    options.footer("The answer goes to the standard output; the times of a stream go to the standard error.");
}

exit_status call_command::run() {
    return path_.empty() ? stream_completion() : call_plain();
}

exit_status call_command::call_plain() const {
    auto const method = http::beast_http::string_to_verb(method_);
    if (method == http::beast_http::verb::unknown) {
        std::cerr << "cyclamenctl: unknown method " << method_ << '\n';
        return exit_status::usage;
    }
    auto const separator = path_.starts_with('/') ? "" : "/";
    auto message = http::make_request(method, "/v1/services/" + service_ + separator + path_, body_);
    message.set(http::beast_http::field::authorization, "Bearer " + key_);
    if (!idempotency_key_.empty())
        message.set("Idempotency-Key", idempotency_key_);
    auto const answer = fetch(address_, std::move(message));
    if (answer.status == exit_status::ok)
        std::cout << answer.body << '\n';
    return answer.status;
}

std::string call_command::completion_body() const {
    boost::json::object fields{{"model", service_}, {"prompt", prompt_}, {"stream", true}};
    if (max_tokens_ > 0)
        fields["max_tokens"] = max_tokens_;
    return boost::json::serialize(fields);
}

exit_status call_command::stream_completion() const {
    boost::asio::io_context context{1};
    auto status = exit_status::unreachable;
    boost::asio::co_spawn(context, print_stream(),
                          [&](std::exception_ptr const&, exit_status value) { status = value; });
    context.run();
    return status;
}

boost::asio::awaitable<exit_status> call_command::print_stream() const {
    using enum http::completion_part;
    auto const endpoint = network::parse_endpoint(address_);
    if (!endpoint) {
        std::cerr << "cyclamenctl: " << endpoint.error().message << '\n';
        co_return exit_status::usage;
    }
    http::completion_stream stream{co_await boost::asio::this_coro::executor};
    auto const start = base::clock::now();
    auto const opened = co_await stream.open(endpoint.value(), key_, completion_body(), timeouts);
    if (!opened) {
        std::cerr << "cyclamenctl: " << address_ << ": " << opened.error().cause.message << '\n';
        co_return exit_status::unreachable;
    }
    double first_token = 0;
    std::vector<double> gaps;
    auto last = start;
    bool started = false;
    while (true) {
        auto const event = co_await stream.next(answer_timeout);
        if (event.part == token) {
            std::cout << event.text << std::flush;
            if (started)
                gaps.push_back(milliseconds_since(last));
            else
                first_token = milliseconds_since(start);
            started = true;
            last = base::clock::now();
            continue;
        }
        if (started) {
            std::cout << '\n';
            print_times(first_token, gaps);
        }
        if (event.part == finish)
            co_return exit_status::ok;
        std::cerr << "cyclamenctl: " << event.text << (event.message.empty() ? "" : ": ") << event.message << '\n';
        co_return started || event.part == broken ? exit_status::incomplete : exit_status::refused;
    }
}

} // namespace cyclamenledge::control
