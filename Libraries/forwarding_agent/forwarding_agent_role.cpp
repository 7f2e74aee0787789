#include "forwarding_agent/forwarding_agent_role.h"

#include "forwarding/engine_room.h"
#include "log/logger.h"
#include "network/endpoint.h"
#include "platform/engine_calls.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cyclamenledge::forwarding_agent {

namespace asio = boost::asio;

namespace {

// A leaving engine stops after 1.5 to 2.1 s, and copying its requests away takes most of that.
constexpr base::milliseconds report_interval{50};
constexpr base::milliseconds failed_report_interval{200};
constexpr base::milliseconds report_timeout{400};
// Entries are told at once of a change of state, and of changes of the load at this interval.
constexpr base::milliseconds load_interval{150};
// An unchanged report is repeated so that entries know that the agent lives.
constexpr base::milliseconds repeat_interval{600};
// Memory changes below this share of the total are not worth a message.
constexpr double told_memory_share = 0.01;
// Nor are differences of the time that a new prompt waits below this, a tenth of the time that one takes.
constexpr base::milliseconds told_wait{40};

bool same_state(forwarding::engine_report const& one, forwarding::engine_report const& other) {
    return one.started_at == other.started_at && one.leaving == other.leaving;
}

/// Whether entries that were told one report expect the other one by now.
bool similar_load(forwarding::engine_report const& told, forwarding::engine_report const& report, base::duration age) {
    auto const memory = std::abs(static_cast<double>(told.committed_tokens) - report.committed_tokens);
    auto const wait =
        forwarding::engine_room{told, {}, age}.read_wait() - forwarding::engine_room{report, {}, {}}.read_wait();
    return told.running == report.running && told.queued == report.queued &&
           memory <= told_memory_share * told.total_tokens && std::chrono::abs(wait) <= told_wait;
}

} // namespace

base::result<std::unique_ptr<forwarding_agent_role>> forwarding_agent_role::create(process::runtime& daemon) {
    BOOST_OUTCOME_TRY(auto target, network::parse_endpoint(daemon.settings().target_address));
    return std::unique_ptr<forwarding_agent_role>{new forwarding_agent_role{daemon, std::move(target)}};
}

forwarding_agent_role::forwarding_agent_role(process::runtime& daemon, asio::ip::tcp::endpoint target)
    : daemon_(daemon)
    , target_(std::move(target))
    , operators_(daemon, *this)
    , operator_server_(daemon.context(), {}, operators_) {}

base::result<void> forwarding_agent_role::start() {
    auto& hub = daemon_.hub();
    hub.add_observer(*this);
    hub.handle<wire::schema::LinkTurnRequestT>(
        [this](link::connection& entry, wire::schema::LinkTurnRequestT const& wish) {
            turns_.add({entry.number(), wish.request, wish.tokens, base::milliseconds{wish.remaining_ms}});
            grant_turn();
        });
    hub.handle<wire::schema::PlaceRequestT>(
        [this](link::connection& entry, wire::schema::PlaceRequestT const& question) { answer(entry, question); });
    hub.handle<wire::schema::PlaceEndT>([this](link::connection&, wire::schema::PlaceEndT const& end) {
        ledger_.end(end.request, base::clock::now());
    });
    hub.handle<wire::schema::LinkTurnDoneT>([this](link::connection&, wire::schema::LinkTurnDoneT const& done) {
        turns_.remove(done.request);
        grant_turn();
    });
    BOOST_OUTCOME_TRYV(hub.listen(daemon_.settings().peer_address));
    BOOST_OUTCOME_TRYV(operator_server_.listen(daemon_.settings().operator_address));
    asio::co_spawn(daemon_.context(), read_reports(), asio::detached);
    return base::success();
}

void forwarding_agent_role::on_up(link::connection& entry) {
    entries_[entry.number()] = link::connection_pointer{&entry};
    if (report_)
        entry.send(message(current()));
}

void forwarding_agent_role::on_down(link::connection& entry, base::error const&) {
    entries_.erase(entry.number());
    turns_.remove_entry(entry.number());
    ledger_.remove_entry(entry.number());
    grant_turn();
}

asio::awaitable<void> forwarding_agent_role::read_reports() {
    asio::steady_timer timer{daemon_.context()};
    while (true) {
        auto const report = co_await read_once();
        if (report) {
            if (failures_ > 0)
                log::write(log::event_kind::target_reachable,
                           {{"address", daemon_.settings().target_address}, {"failures", failures_}});
            failures_ = 0;
            take_report(report.value());
        } else {
            connection_.reset();
            if (failures_++ == 0)
                log::write(log::event_kind::target_unreachable,
                           {{"address", daemon_.settings().target_address}, {"reason", report.error().message}});
        }
        timer.expires_after(failures_ > 0 ? failed_report_interval : report_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!turns_.idle())
            grant_turn();
    }
}

http::awaitable_result<forwarding::engine_report> forwarding_agent_role::read_once() {
    if (!connection_ || !connection_->reusable() || !connection_->quiet()) {
        connection_ = http::upstream_pointer{new http::upstream_connection{daemon_.context().get_executor(), target_}};
        BOOST_OUTCOME_CO_TRYV(co_await connection_->connect(report_timeout));
    }
    co_return co_await platform::read_report(*connection_, report_timeout);
}

void forwarding_agent_role::take_report(forwarding::engine_report const& report) {
    auto const now = base::clock::now();
    // A new incarnation runs nothing of what the one before was granted.
    if (report_ && report_->started_at != report.started_at)
        ledger_ = {};
    report_ = report;
    ledger_.observe(report, now);
    bool const state_changed = !told_ || !same_state(*told_, report);
    bool const load_due = told_ && now - told_at_ >= load_interval && !similar_load(*told_, current(), now - told_at_);
    if (state_changed || load_due || now - told_at_ >= repeat_interval)
        tell_entries();
    if (state_changed && report.leaving)
        log::write(log::event_kind::target_leaving,
                   {{"address", daemon_.settings().target_address},
                    {"leaves_in_ms", report.leaves_in ? report.leaves_in->count() : -1},
                    {"running", report.running}});
}

void forwarding_agent_role::answer(link::connection& entry, wire::schema::PlaceRequestT const& question) {
    wire::schema::PlaceAnswerT reply;
    reply.request = question.request;
    if (report_)
        reply.granted = ledger_.grant({entry.number(), question.request, question.unread_tokens, question.memory_tokens,
                                       question.slots, question.accept_crowded},
                                      *report_, base::clock::now());
    // Before the answer, so that the entry counts the request once.
    if (reply.granted)
        tell_entries();
    else if (report_)
        entry.send(message(current()));
    entry.send(reply);
}

forwarding::engine_report forwarding_agent_role::current() const {
    return ledger_.complete(*report_, base::clock::now());
}

void forwarding_agent_role::tell_entries() {
    told_ = current();
    told_at_ = base::clock::now();
    auto const content = message(*told_);
    for (auto const& [number, entry] : entries_)
        entry->send(content);
}

wire::schema::EngineStateT forwarding_agent_role::message(forwarding::engine_report const& report) const {
    wire::schema::EngineStateT content;
    content.target_address = daemon_.settings().target_address;
    content.started_at = report.started_at;
    content.leaving = report.leaving;
    content.leaves_in_ms = report.leaves_in ? static_cast<std::uint32_t>(report.leaves_in->count()) + 1 : 0;
    content.running = report.running;
    content.queued = report.queued;
    content.reading = report.reading;
    content.used_tokens = report.used_tokens;
    content.total_tokens = report.total_tokens;
    content.entries = static_cast<std::uint32_t>(entries_.size());
    content.unread_tokens = report.unread_tokens;
    content.reading_pace = static_cast<float>(report.reading_pace);
    content.committed_tokens = report.committed_tokens;
    return content;
}

void forwarding_agent_role::grant_turn() {
    auto const leaves_in = report_ ? report_->leaves_in : std::nullopt;
    while (auto const turn = turns_.next(leaves_in, base::clock::now())) {
        auto const entry = entries_.find(turn->entry);
        if (entry == entries_.end()) {
            turns_.remove(turn->request);
            continue;
        }
        wire::schema::LinkTurnT content;
        content.request = turn->request;
        entry->second->send(content);
    }
}

boost::json::object forwarding_agent_role::state() const {
    boost::json::object dump{
        {"target", daemon_.settings().target_address}, {"entries", entries_.size()}, {"failed_reports", failures_}};
    if (report_) {
        auto const report = current();
        dump["leaving"] = report.leaving;
        dump["running"] = report.running;
        dump["used_tokens"] = report.used_tokens;
        dump["committed_tokens"] = report.committed_tokens;
        dump["unread_tokens"] = report.unread_tokens;
        dump["granted"] = ledger_.size();
        dump["total_tokens"] = report.total_tokens;
    }
    return dump;
}

base::result<boost::json::object> forwarding_agent_role::explain(std::string_view, std::string_view) const {
    return base::make_error(base::error_kind::not_found, "entries place requests; ask one of them");
}

} // namespace cyclamenledge::forwarding_agent
