#include "process/runtime.h"

#include "base/random.h"
#include "log/logger.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>
#include <vector>

namespace cyclamenledge::process {

namespace asio = boost::asio;

namespace {

// How often the drain checks whether the last request has ended.
constexpr base::milliseconds drain_poll_interval{20};
// Time to send the remaining bytes and frames after the last request has ended.
constexpr base::milliseconds flush_delay{100};
// Longest time after the last request in which the callers' connections are closed.
constexpr base::milliseconds longest_session_end{1500};

membership::drain_settings drain_settings_of(settings::process_settings const& settings) {
    membership::drain_settings result;
    result.drain_accept = settings.drain_accept;
    if (settings.drain_limit)
        result.drain_limit = *settings.drain_limit - settings.drain_margin;
    return result;
}

} // namespace

base::result<std::unique_ptr<runtime>> runtime::create(settings::process_settings settings) {
    BOOST_OUTCOME_TRY(auto authenticator, wire::authenticator::create(settings.shared_keys));
    return std::unique_ptr<runtime>{new runtime{std::move(settings), std::move(authenticator)}};
}

runtime::runtime(settings::process_settings settings, wire::authenticator authenticator)
    : settings_(std::move(settings))
    , authenticator_(std::move(authenticator))
    , identity_{settings_.name, base::random_seed(), static_cast<std::uint8_t>(settings_.role),
                settings_.failure_domain}
    , started_wall_(std::chrono::floor<base::milliseconds>(std::chrono::system_clock::now()))
    , drain_(drain_settings_of(settings_))
    , context_(static_cast<int>(settings_.threads))
    , hub_(context_, authenticator_, identity_, metrics_)
    , signals_(context_, SIGTERM, SIGINT)
    , reload_signals_(context_, SIGHUP) {}

bool runtime::begin_request() {
    std::scoped_lock const lock{drain_mutex_};
    return drain_.begin_request(base::clock::now());
}

bool runtime::begin_short_request() {
    std::scoped_lock const lock{drain_mutex_};
    return drain_.begin_short_request(base::clock::now());
}

void runtime::end_request() {
    std::scoped_lock const lock{drain_mutex_};
    drain_.end_request();
}

std::uint64_t runtime::open_requests() const {
    std::scoped_lock const lock{drain_mutex_};
    return drain_.open_requests();
}

membership::drain_state runtime::drain_state() const {
    std::scoped_lock const lock{drain_mutex_};
    return drain_.state(base::clock::now());
}

std::optional<base::time_point> runtime::aborts_at() const {
    std::scoped_lock const lock{drain_mutex_};
    return drain_.aborts_at();
}

boost::json::object runtime::state() const {
    boost::json::object dump;
    for (auto const& [name, part] : state_parts_)
        dump[name] = part();
    return dump;
}

void runtime::run(drain_steps steps) {
    auto const work = asio::make_work_guard(context_);
    asio::co_spawn(context_, ignore_reload_signals(), asio::detached);
    asio::co_spawn(context_, run_drain(std::move(steps)), asio::detached);
    std::vector<std::jthread> workers;
    for (std::uint32_t index = 1; index < settings_.threads; ++index)
        workers.emplace_back([this] { context_.run(); });
    context_.run();
}

// Settings are read only at start, so SIGHUP is ignored. Without a handler, the signal would terminate the process.
asio::awaitable<void> runtime::ignore_reload_signals() {
    while (true) {
        auto [code, signal] = co_await reload_signals_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (code)
            co_return;
        log::write(log::event_kind::reload_ignored, {{"signal", signal}});
    }
}

asio::awaitable<void> runtime::run_drain(drain_steps steps) {
    co_await signals_.async_wait(asio::use_awaitable);
    log::write(log::event_kind::process_draining, {{"open_requests", open_requests()}});
    {
        std::scoped_lock const lock{drain_mutex_};
        drain_.start_drain(base::clock::now());
    }
    asio::steady_timer timer{context_};
    bool refusing = false;
    while (true) {
        auto const state = drain_state();
        if (state >= membership::drain_state::refusing && !refusing) {
            refusing = true;
            steps.refuse_connections();
        }
        if (state == membership::drain_state::drained)
            break;
        timer.expires_after(drain_poll_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_await finish_sessions(std::move(steps));
    log::write(log::event_kind::process_drained, {{"open_requests", open_requests()}});
    context_.stop();
}

// From here on every request is refused. A connection that ends with the process would lose its refusal.
asio::awaitable<void> runtime::finish_sessions(drain_steps steps) {
    steps.end_sessions();
    auto const now = base::clock::now();
    auto latest = now + longest_session_end;
    if (auto const limit = aborts_at())
        latest = std::min(latest, std::max(now, *limit) + flush_delay);
    asio::steady_timer timer{context_, flush_delay};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    while (steps.open_sessions() > 0 && base::clock::now() < latest) {
        timer.expires_after(drain_poll_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace cyclamenledge::process
