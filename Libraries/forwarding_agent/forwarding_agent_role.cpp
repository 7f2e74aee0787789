#include "forwarding_agent/forwarding_agent_role.h"

#include "forwarding/engine_room.h"
#include "log/logger.h"
#include "network/endpoint.h"
#include "platform/engine_calls.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <cmath>
#include <set>
#include <string_view>
#include <utility>

namespace cyclamenledge::forwarding_agent {

namespace asio = boost::asio;

namespace {

// A leaving engine stops after 1.5 to 2.1 s, and copying its requests to other engines takes most of that time.
constexpr base::milliseconds report_interval{50};
constexpr base::milliseconds failed_report_interval{200};
constexpr base::milliseconds report_timeout{400};
// Changes of state are sent to the entries at once, changes of the load at most once in this interval.
constexpr base::milliseconds load_interval{150};
// An unchanged report is sent again after this time as a heartbeat.
constexpr base::milliseconds heartbeat_interval{600};
// Memory changes up to this share of the total are not sent.
constexpr double insignificant_memory_share = 0.01;
// Changes of the wait of a new prompt up to this time are not sent. It is a tenth of the time that one prompt takes.
constexpr base::milliseconds insignificant_wait{40};

// Values of PlaceEnd.outcome. Others are not known.
constexpr std::uint8_t served = 1;
constexpr std::uint8_t failed = 2;

bool equal_state(forwarding::engine_report const& one, forwarding::engine_report const& other) {
    return one.started_at == other.started_at && one.leaving == other.leaving;
}

/// Whether the report differs little from what entries predict from the report that they were sent.
bool load_as_predicted(forwarding::engine_report const& sent, forwarding::engine_report const& report,
                       base::duration age) {
    auto const memory = std::abs(static_cast<double>(sent.committed_tokens) - report.committed_tokens);
    auto const wait =
        forwarding::engine_room{sent, {}, age}.read_wait() - forwarding::engine_room{report, {}, {}}.read_wait();
    return sent.running == report.running && sent.queued == report.queued &&
           memory <= insignificant_memory_share * sent.total_tokens && std::chrono::abs(wait) <= insignificant_wait;
}

bool any_granted(forwarding::reservation_controller::answers const& answers) {
    return std::ranges::any_of(answers, &forwarding::reservation_answer::granted);
}

std::vector<link::connection_pointer> connected_entries(link::hub const& hub, poison_control::outgoing_notice const&) {
    return hub.ready_connections();
}

} // namespace

base::result<std::unique_ptr<forwarding_agent_role>> forwarding_agent_role::create(process::runtime& daemon) {
    BOOST_OUTCOME_TRY(auto target, network::parse_endpoint(daemon.settings().target_address));
    return std::unique_ptr<forwarding_agent_role>{new forwarding_agent_role{daemon, std::move(target)}};
}

forwarding_agent_role::forwarding_agent_role(process::runtime& daemon, asio::ip::tcp::endpoint target)
    : daemon_(daemon)
    , target_(std::move(target))
    , report_timer_(daemon.context())
    , expiry_timer_(daemon.context())
    , crash_notices_(daemon, suspects_, &connected_entries)
    , permits_(daemon.hub())
    , stream_origins_(daemon.hub())
    , operators_(daemon, *this)
    , operator_server_(daemon.context(), {}, operators_) {}

base::result<void> forwarding_agent_role::start() {
    auto& hub = daemon_.hub();
    hub.add_observer(*this);
    crash_notices_.start();
    permits_.start();
    stream_origins_.start();
    hub.handle<wire::schema::LinkTurnRequestT>(
        [this](link::connection& entry, wire::schema::LinkTurnRequestT const& slot_request) {
            copy_queue_.add({entry.number(), slot_request.request, slot_request.tokens,
                             base::milliseconds{slot_request.remaining_ms}});
            grant_copy_slots();
        });
    hub.handle<wire::schema::PlaceRequestT>(
        [this](link::connection& entry, wire::schema::PlaceRequestT const& reservation) {
            answer_reservation(entry, reservation);
        });
    hub.handle<wire::schema::PlaceEndT>([this](link::connection& entry, wire::schema::PlaceEndT const& end) {
        if (end.pace != 0 && !pace_.observe_stated(end.pace, base::clock::now()))
            daemon_.metrics().add(metrics::counter_kind::paces_ignored);
        end_reservation(entry, end);
    });
    hub.handle<wire::schema::LinkTurnDoneT>([this](link::connection&, wire::schema::LinkTurnDoneT const& done) {
        copy_queue_.remove(done.request);
        grant_copy_slots();
    });
    hub.handle<wire::schema::RunQuestionT>([this](link::connection& entry, wire::schema::RunQuestionT const& question) {
        witness_.add(entry, question);
        report_timer_.cancel();
    });
    BOOST_OUTCOME_TRYV(hub.listen(daemon_.settings().peer_address));
    BOOST_OUTCOME_TRYV(operator_server_.listen(daemon_.settings().operator_address));
    asio::co_spawn(daemon_.context(), read_reports(), asio::detached);
    return base::success();
}

void forwarding_agent_role::on_connected(link::connection& entry) {
    entries_[entry.number()] = link::connection_pointer{&entry};
    count_entries();
    if (report_)
        entry.send(encode_report(current_report()));
}

void forwarding_agent_role::on_disconnected(link::connection& entry, base::error const&) {
    entries_.erase(entry.number());
    copy_queue_.remove_entry(entry.number());
    if (report_)
        send_answers(reservations_.remove_entry(entry.number(), *report_, base::clock::now()));
    grant_copy_slots();
}

asio::awaitable<void> forwarding_agent_role::read_reports() {
    while (true) {
        witness_.begin_answers();
        auto report = co_await read_once();
        if (witness_.answering())
            report = co_await answer_questions(std::move(report));
        if (report) {
            if (failures_ > 0)
                log::write(log::event_kind::target_reachable,
                           {{"address", daemon_.settings().target_address}, {"failures", failures_}});
            failures_ = 0;
            update_report(report.value());
        } else {
            connection_.reset();
            if (failures_++ == 0)
                log::write(log::event_kind::target_unreachable,
                           {{"address", daemon_.settings().target_address}, {"reason", report.error().message}});
        }
        if (!witness_.asked()) {
            report_timer_.expires_after(failures_ > 0 ? failed_report_interval : report_interval);
            co_await report_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        if (!copy_queue_.idle())
            grant_copy_slots();
    }
}

http::awaitable_result<forwarding::engine_report>
forwarding_agent_role::answer_questions(base::result<forwarding::engine_report> report) {
    // The first report may be a late second copy of one that was read before the questions came.
    if (report)
        report = co_await read_once();
    // A broken connection is noticed before it is known whether the engine takes another one.
    if (!report && connection_broken_) {
        connection_.reset();
        report = co_await read_once();
    }
    using enum forwarding::run_evidence;
    if (report)
        co_await witness_.answer(report.value(), connection_);
    else
        witness_.answer(connection_broken_ && report.error().kind == base::error_kind::link_lost ? process_ended
                                                                                                 : unresponsive);
    co_return report;
}

http::awaitable_result<forwarding::engine_report> forwarding_agent_role::read_once() {
    if (connection_ && connection_->reusable() && connection_->ended_by_peer())
        connection_broken_ = true;
    if (!connection_ || !connection_->reusable() || !connection_->quiet()) {
        connection_ = http::upstream_pointer{new http::upstream_connection{daemon_.context().get_executor(), target_}};
        BOOST_OUTCOME_CO_TRYV(co_await connection_->connect(report_timeout));
        connection_broken_ = false;
        co_return co_await platform::read_report(*connection_, report_timeout);
    }
    auto const report = co_await platform::read_report(*connection_, report_timeout);
    if (!report && report.error().kind == base::error_kind::link_lost)
        connection_broken_ = true;
    co_return report;
}

void forwarding_agent_role::update_report(forwarding::engine_report const& report) {
    auto const now = base::clock::now();
    bool const restarted = report_ && report_->started_at != report.started_at;
    if (restarted)
        pace_ = {};
    report_ = report;
    pace_.observe_report(report, now);
    auto const answers = reservations_.observe(report, now);
    bool const state_changed = !last_sent_ || !equal_state(*last_sent_, report);
    bool const failing_differs = failing_changed(restarted ? "restarted" : report.leaving ? "leaving" : "served");
    bool const load_changed = last_sent_ && now - last_sent_at_ >= load_interval &&
                              !load_as_predicted(*last_sent_, current_report(), now - last_sent_at_);
    // Grants come with a report of their own.
    if (!any_granted(answers) &&
        (state_changed || failing_differs || load_changed || now - last_sent_at_ >= heartbeat_interval))
        send_to_entries();
    send_answers(answers);
    if (state_changed && report.leaving)
        log::write(log::event_kind::target_leaving,
                   {{"address", daemon_.settings().target_address},
                    {"leaves_in_ms", report.leaves_in ? report.leaves_in->count() : -1},
                    {"running", report.running}});
}

void forwarding_agent_role::answer_reservation(link::connection& entry, wire::schema::PlaceRequestT const& message) {
    forwarding::reservation_request requested{entry.number(),        message.request, message.unread_tokens,
                                              message.memory_tokens, message.slots,   message.accept_crowded};
    if (!report_) {
        send_answers({{entry.number(), message.request, false, std::nullopt}});
        return;
    }
    auto const now = base::clock::now();
    // Copies of running requests never wait: they would be lost with the leaving engine.
    if (message.wait_ms == 0 || message.unread_tokens == 0) {
        bool const granted = reservations_.grant_immediately(std::move(requested), *report_, now);
        send_answers({{entry.number(), message.request, granted, std::nullopt}});
        return;
    }
    send_answers(reservations_.request({std::move(requested),
                                        {message.priority, message.route_priority},
                                        now - base::milliseconds{message.waited_ms},
                                        now + base::milliseconds{message.on_time_ms},
                                        now + base::milliseconds{message.wait_ms}},
                                       *report_, now));
}

void forwarding_agent_role::end_reservation(link::connection& entry, wire::schema::PlaceEndT const& end) {
    if (!report_)
        return;
    auto const outcome =
        end.outcome == served || end.outcome == failed ? std::optional{end.outcome == failed} : std::nullopt;
    auto const answers = reservations_.end(entry.number(), end.request, outcome, *report_, base::clock::now());
    if (failing_changed("served") && !any_granted(answers))
        send_to_entries();
    send_answers(answers);
}

bool forwarding_agent_role::failing_changed(std::string_view recovery) {
    auto const& outcomes = reservations_.outcomes();
    if (outcomes.failing() == failing_)
        return false;
    failing_ = outcomes.failing();
    if (failing_)
        log::write(log::event_kind::target_failing, {{"address", daemon_.settings().target_address},
                                                     {"failures", outcomes.failures_in_row()},
                                                     {"entries", outcomes.entries_in_row()}});
    else
        log::write(log::event_kind::target_recovered, {{"address", daemon_.settings().target_address},
                                                       {"reason", outcomes.marked() ? "expired" : recovery}});
    return true;
}

void forwarding_agent_role::send_answers(forwarding::reservation_controller::answers const& answers) {
    // A report is sent before the answers, so that the entries count a granted request once. A refusal concerns its
    // entry only.
    bool const granted = any_granted(answers);
    if (granted)
        send_to_entries();
    for (auto const& answer : answers) {
        auto const entry = entries_.find(answer.entry);
        if (entry == entries_.end())
            continue;
        if (!granted && report_)
            entry->second->send(encode_report(current_report()));
        wire::schema::PlaceAnswerT reply;
        reply.request = answer.request;
        reply.granted = answer.granted;
        reply.room_in_ms = answer.room_in ? static_cast<std::uint32_t>(answer.room_in->count()) + 1 : 0;
        entry->second->send(reply);
    }
    schedule_expiry();
}

void forwarding_agent_role::schedule_expiry() {
    auto const next = reservations_.next_expiry();
    if (!next) {
        expiry_timer_.cancel();
        return;
    }
    expiry_timer_.expires_at(*next);
    expiry_timer_.async_wait([this](boost::system::error_code const& cancelled) {
        if (!cancelled)
            send_answers(reservations_.advance(*report_, base::clock::now()));
    });
}

forwarding::engine_report forwarding_agent_role::current_report() const {
    auto const now = base::clock::now();
    auto const report = reservations_.complete(*report_, now);
    // Entries that do not follow paces state none, and then none is sent.
    return pace_.followed() ? pace_.complete(report, now) : report;
}

void forwarding_agent_role::send_to_entries() {
    count_entries();
    last_sent_ = current_report();
    last_sent_at_ = base::clock::now();
    auto const content = encode_report(*last_sent_);
    for (auto const& [number, entry] : entries_)
        entry->send(content);
}

wire::schema::EngineStateT forwarding_agent_role::encode_report(forwarding::engine_report const& report) const {
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
    content.entries = entry_count_.value(base::clock::now()).value_or(0);
    content.unread_tokens = report.unread_tokens;
    content.reading_pace = static_cast<float>(report.reading_pace);
    content.committed_tokens = report.committed_tokens;
    content.failing = report.failing;
    content.waiting = report.waiting;
    content.waiting_tokens = report.waiting_tokens;
    content.room_in_ms = report.room_in ? static_cast<std::uint32_t>(report.room_in->count()) + 1 : 0;
    content.pace = static_cast<float>(report.pace);
    content.pace_now = static_cast<float>(report.pace_now);
    return content;
}

void forwarding_agent_role::count_entries() {
    // An entry that has just reconnected may still have its earlier connection.
    std::set<std::string_view> names;
    for (auto const& [number, entry] : entries_)
        names.insert(entry->peer().process);
    entry_count_.observe(static_cast<std::uint32_t>(names.size()), base::clock::now());
}

void forwarding_agent_role::grant_copy_slots() {
    auto const leaves_in = report_ ? report_->leaves_in : std::nullopt;
    while (auto const slot = copy_queue_.next(leaves_in, base::clock::now())) {
        auto const entry = entries_.find(slot->entry);
        if (entry == entries_.end()) {
            copy_queue_.remove(slot->request);
            continue;
        }
        wire::schema::LinkTurnT content;
        content.request = slot->request;
        entry->second->send(content);
    }
}

boost::json::object forwarding_agent_role::state() const {
    boost::json::object dump{
        {"target", daemon_.settings().target_address}, {"entries", entries_.size()}, {"failed_reports", failures_}};
    if (report_) {
        auto const report = current_report();
        dump["leaving"] = report.leaving;
        dump["running"] = report.running;
        dump["used_tokens"] = report.used_tokens;
        dump["committed_tokens"] = report.committed_tokens;
        dump["unread_tokens"] = report.unread_tokens;
        dump["granted"] = reservations_.granted();
        dump["waiting"] = report.waiting;
        dump["failing"] = report.failing;
        dump["total_tokens"] = report.total_tokens;
    }
    dump["poison"] = crash_notices_.state();
    dump["permitted_targets"] = permits_.size();
    return dump;
}

base::result<boost::json::object> forwarding_agent_role::explain(std::string_view, std::string_view) const {
    return base::make_error(base::error_kind::not_found, "entries place requests; ask one of them");
}

} // namespace cyclamenledge::forwarding_agent
