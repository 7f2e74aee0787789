#include "generator.h"

#include "http/completion_stream.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <random>
#include <utility>

namespace cyclamenledge::load {

namespace asio = boost::asio;

namespace {

constexpr double length_sigma = 0.9;
constexpr base::milliseconds read_timeout{120000};
constexpr http::client_timeouts timeouts{base::milliseconds{5000}, read_timeout};
constexpr std::size_t maximum_answer_bytes = 1024UL * 1024;

double milliseconds_between(base::time_point from, base::time_point until) {
    return base::to_seconds(until - from) * 1000;
}

} // namespace

asio::awaitable<void> generator::run() {
    std::exponential_distribution<double> gaps{plan_.requests_per_second};
    std::lognormal_distribution<double> lengths{std::log(plan_.mean_length) - length_sigma * length_sigma / 2,
                                                length_sigma};
    std::uniform_real_distribution<double> shares{0, 1};
    asio::steady_timer timer{context_};
    auto const start = base::clock::now();
    double at = 0;
    for (std::uint64_t number = 0;; ++number) {
        at += gaps(random_.engine());
        if (at > plan_.seconds)
            co_return;
        timer.expires_at(start + base::from_seconds(at));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto const organisation = random_.below(plan_.keys.size());
        if (shares(random_.engine()) < plan_.keyed_share) {
            asio::co_spawn(context_, keyed_call(make_key(), organisation), asio::detached);
            continue;
        }
        auto const length = std::min(plan_.maximum_length, 1 + static_cast<std::uint32_t>(lengths(random_.engine())));
        auto tag = "s" + std::to_string(plan_.seed) + "-" + std::to_string(number);
        asio::co_spawn(context_, stream(std::move(tag), length, organisation), asio::detached);
    }
}

asio::awaitable<void> generator::stream(std::string tag, std::uint32_t length, std::size_t organisation) {
    using enum http::completion_part;
    auto body = R"({"model":")" + plan_.service + R"(","stream":true,"prompt":")" + tag +
                " length=" + std::to_string(length) + R"( "})";
    http::completion_stream answer{context_.get_executor()};
    ++report_.sent;
    auto last = base::clock::now();
    auto const entry = plan_.entries.at(report_.sent % plan_.entries.size());
    auto const status = co_await answer.open(entry, plan_.keys.at(organisation), std::move(body), timeouts);
    if (!status) {
        ++report_.broken_streams;
        co_return;
    }
    std::uint32_t expected = 0;
    bool first = true;
    while (true) {
        auto const event = co_await answer.next(read_timeout);
        auto const now = base::clock::now();
        if (event.part == token) {
            auto const gap = milliseconds_between(last, now);
            (first ? report_.first_token : report_.token_gap).add(gap);
            if (!first && gap > plan_.stall_threshold_ms)
                report_.stall_milliseconds += gap - plan_.stall_threshold_ms;
            first = false;
            last = now;
            ++report_.tokens;
            expected = check(event.text, tag, expected);
            continue;
        }
        if (event.part == error)
            ++(first ? report_.refusals : report_.failures)[event.text];
        if (event.part == broken)
            ++report_.broken_streams;
        if (event.part == finish) {
            report_.lost_tokens += expected < length ? length - expected : 0;
            report_.completed += expected == length ? 1 : 0;
        }
        co_return;
    }
}

std::uint32_t generator::check(std::string const& text, std::string const& tag, std::uint32_t expected) {
    auto const colon = text.rfind(':');
    std::uint32_t index = 0;
    if (colon == std::string::npos || text.substr(0, colon) != tag ||
        std::from_chars(text.data() + colon + 1, text.data() + text.size(), index).ec != std::errc{}) {
        ++report_.crossed_tokens;
        return expected;
    }
    if (index < expected) {
        ++report_.repeated_tokens;
        return expected;
    }
    report_.lost_tokens += index - expected;
    return index + 1;
}

std::string generator::make_key() {
    // UUIDv7 (RFC 9562): the creation time in milliseconds, then random bits.
    auto const now =
        std::chrono::duration_cast<base::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
    auto const stamp = static_cast<unsigned long long>(now.count());
    std::array<char, 100> text{};
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7%03llx-8%03llx-%012llx", stamp >> 16U, stamp & 0xffffU,
                  static_cast<unsigned long long>(random_.below(0x1000)),
                  static_cast<unsigned long long>(random_.below(0x1000)),
                  static_cast<unsigned long long>(random_.below(1ULL << 48U)));
    return text.data();
}

asio::awaitable<void> generator::keyed_call(std::string key, std::size_t organisation) {
    auto message = http::make_request(http::beast_http::verb::post, "/v1/services/" + plan_.keyed_path, "{}");
    message.set(http::beast_http::field::authorization, "Bearer " + plan_.keys.at(organisation));
    message.set("Idempotency-Key", key);
    ++report_.keyed_sent;
    auto const entry = plan_.entries.at(report_.keyed_sent % plan_.entries.size());
    auto const answer = co_await http::exchange(entry, message, timeouts, maximum_answer_bytes);
    auto name = answer ? std::to_string(answer.value().result_int()) : std::string("no_answer");
    if (answer && answer.value().result_int() >= 400)
        name = http::parse_error_body(answer.value().body()).text;
    ++report_.keyed_answers[name];
}

} // namespace cyclamenledge::load
