#include "forwarding_entry/crash_detector.h"

#include "forwarding/connection_end.h"
#include "http/upstream_connection.h"
#include "log/logger.h"
#include "network/endpoint.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

// Several round trips to the furthest region.
constexpr base::milliseconds probe_timeout{300};
// A target that is restarted at once accepts connections, and is recognised by the announcement of its new incarnation.
constexpr base::milliseconds announcement_check_interval{500};
constexpr int announcement_checks = 4;

} // namespace

asio::awaitable<void> crash_detector::examine(std::string target, lost_run run) {
    bool const wait = suspects_.suspects(run.content);
    auto const [found, inserted] = examinations_.try_emplace(target);
    if (inserted)
        found->second.reset(new examination{context_});
    // conclude() may run to its end inside co_spawn and remove the entry of the map.
    auto const examined = found->second;
    examined->runs.push_back(std::move(run));
    if (inserted)
        asio::co_spawn(context_, conclude(target, examined), asio::detached);
    if (wait)
        co_await examined->verdict.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> crash_detector::conclude(std::string target, examination_pointer examined) {
    auto const* view = board_.fleet.find(target);
    // A target that has announced its end closes its connections as planned.
    bool const expected = view == nullptr || view->leaving(base::clock::now());
    auto const lost = expected ? forwarding::target_record{} : view->record;
    bool crashed = false;
    if (!expected) {
        crashed = co_await has_ended(lost);
        if (!crashed) {
            examined->verdict.expires_at(base::clock::now());
            crashed = co_await is_replaced(lost);
        }
    }
    // Requests that are lost from now on are examined anew.
    examinations_.erase(target);
    if (crashed) {
        for (auto const& run : examined->runs)
            record(target, lost, run);
    }
    // Resumes the requests that wait, after the crash is recorded.
    examined->verdict.expires_at(base::clock::now());
}

void crash_detector::record(std::string const& target, forwarding::target_record const& lost, lost_run const& run) {
    log::write(log::event_kind::target_crashed, {{"request", run.request},
                                                 {"fingerprint", run.content.fingerprint},
                                                 {"target", target},
                                                 {"parts", run.content.describe_parts()},
                                                 {"events", run.events}});
    // A target that starts again under its id counts as another one.
    poison::crash_notice notice{run.content.fingerprint, target + "@" + std::to_string(lost.started_at),
                                static_cast<std::uint64_t>(lost.started_at),
                                std::chrono::duration_cast<base::milliseconds>(base::clock::now() - run.lost_at),
                                std::chrono::duration_cast<base::milliseconds>(run.lost_at - run.sent_at)};
    suspects_.on_crash(notice);
    if (run.prompt_is_sound)
        return;
    notice.kind = poison::content_kind::prompt_part;
    for (auto const& part : run.content.parts) {
        notice.fingerprint = part.fingerprint;
        suspects_.on_crash(notice);
    }
}

asio::awaitable<bool> crash_detector::has_ended(forwarding::target_record lost) {
    // A target that has no room for another connection refuses it too.
    if (!co_await refuses_connections(lost.address) || connections_.any_open(lost.address))
        co_return false;
    run_witness_client::run_question const asked{lost.address, {}, lost.started_at};
    auto const question = witnesses_.ask(asked);
    auto const statement = co_await question->wait();
    co_return forwarding::state_shown_by(statement.evidence) != forwarding::incarnation_state::running;
}

asio::awaitable<bool> crash_detector::refuses_connections(std::string address) {
    auto const endpoint = network::parse_endpoint(address);
    if (!endpoint)
        co_return false;
    http::upstream_pointer const probe{new http::upstream_connection{context_.get_executor(), endpoint.value()}};
    auto const connected = co_await probe->connect(probe_timeout);
    probe->close();
    co_return !connected && connected.error().kind == base::error_kind::link_lost;
}

asio::awaitable<bool> crash_detector::is_replaced(forwarding::target_record lost) {
    asio::steady_timer timer{context_};
    for (int check = 0; check < announcement_checks; ++check) {
        timer.expires_after(announcement_check_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (board_.fleet.has_newer_incarnation(lost.address, lost.started_at))
            co_return true;
    }
    co_return false;
}

} // namespace cyclamenledge::forwarding_entry
