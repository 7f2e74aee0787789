#include "entry/agent_link.h"

#include "link/handshake.h"
#include "log/logger.h"
#include "network/endpoint.h"
#include "retry/backoff.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenledge::entry {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds connect_timeout{2000};
constexpr base::milliseconds first_backoff{100};
constexpr base::milliseconds backoff_limit{2000};
constexpr base::seconds connected_check{1};

} // namespace

agent_link::agent_link(process::runtime& daemon, blackboard& board, std::string target, std::string address)
    : daemon_(daemon)
    , board_(board)
    , target_(std::move(target))
    , address_(std::move(address))
    , strand_(asio::make_strand(daemon.context()))
    , change_timer_(strand_) {}

std::span<agent_link::frame_row const> agent_link::frame_table() {
    using wire::message_kind;
    static constexpr frame_row rows[] = {
        {message_kind::admitted, &agent_link::pass_on<wire::schema::AdmittedT>},
        {message_kind::refused, &agent_link::pass_on<wire::schema::RefusedT>},
        {message_kind::tokens, &agent_link::pass_on<wire::schema::TokensT>},
        {message_kind::generation_end, &agent_link::pass_on<wire::schema::GenerationEndT>},
    };
    return rows;
}

void agent_link::start() {
    asio::co_spawn(strand_, keep_connected(self_pointer{this}), asio::detached);
}

void agent_link::stop() {
    link::connection_pointer ready;
    {
        std::scoped_lock const lock{mutex_};
        stopped_ = true;
        ready = ready_;
    }
    asio::post(strand_, [self = self_pointer{this}] { self->change_timer_.cancel(); });
    if (ready)
        ready->close(base::make_error(base::error_kind::link_lost, "the target has left the subset"));
}

link::connection_pointer agent_link::ready_connection() const {
    std::scoped_lock const lock{mutex_};
    return ready_;
}

bool agent_link::connected() const {
    std::scoped_lock const lock{mutex_};
    return stopped_ || ready_ != nullptr || pending_ != nullptr;
}

asio::awaitable<void> agent_link::keep_connected(self_pointer) {
    base::random_source random{base::random_seed()};
    retry::backoff const pause{first_backoff, backoff_limit};
    std::uint32_t failures = 0;
    while (true) {
        {
            std::scoped_lock const lock{mutex_};
            if (stopped_)
                co_return;
        }
        if (connected()) {
            co_await wait_for_change(connected_check);
            continue;
        }
        failures = co_await connect() ? 0 : std::min(failures + 1, 16U);
        if (failures > 0)
            co_await wait_for_change(pause.wait(failures, random));
    }
}

asio::awaitable<void> agent_link::wait_for_change(base::duration longest) {
    change_timer_.expires_after(longest);
    co_await change_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<bool> agent_link::connect() {
    auto const endpoint = network::parse_endpoint(address_);
    if (!endpoint)
        co_return false;
    link::tcp::socket socket{asio::make_strand(daemon_.context())};
    asio::steady_timer timeout{strand_, connect_timeout};
    timeout.async_wait([&socket](boost::system::error_code const& code) {
        boost::system::error_code ignored;
        if (!code)
            socket.close(ignored);
    });
    auto [code] = co_await socket.async_connect(endpoint.value(), asio::as_tuple(asio::use_awaitable));
    if (code)
        co_return false;
    auto peer = co_await link::connect_handshake(socket, daemon_.authenticator(), daemon_.identity());
    if (timeout.cancel() == 0)
        co_return false;
    if (!peer || peer.value().process != target_) {
        log::write(
            log::event_kind::link_refused,
            {{"peer", target_}, {"reason", peer ? "another process answers at this address" : peer.error().message}});
        co_return false;
    }
    link::connection_pointer const opened{
        new link::connection{std::move(socket), peer.value(), link::handler_pointer{this}, daemon_.metrics()}};
    {
        std::scoped_lock const lock{mutex_};
        pending_ = opened;
    }
    opened->start();
    co_return true;
}

void agent_link::on_ready(link::connection& source) {
    link::connection_pointer replaced;
    {
        std::scoped_lock const lock{mutex_};
        replaced = std::exchange(ready_, link::connection_pointer{&source});
        if (pending_.get() == &source)
            pending_.reset();
    }
    log::write(log::event_kind::link_up, {{"peer", target_}, {"incarnation", source.peer().incarnation}});
    board_.routing.with([&](routing_state& state) { state.targets->set_link(target_, true, base::clock::now()); });
    if (replaced)
        replaced->close(base::make_error(base::error_kind::link_lost, "replaced by a fresh connection"));
}

void agent_link::on_frame(link::connection& source, wire::frame const& received) {
    auto const rows = frame_table();
    auto const row = std::ranges::find(rows, received.kind(), &frame_row::kind);
    if (row == rows.end()) {
        source.close(
            base::make_error(base::error_kind::protocol_error,
                             "an agent does not send " + std::string(wire::definition_of(received.kind()).name)));
        return;
    }
    (this->*row->action)(source, received);
}

template <class Message>
void agent_link::pass_on(link::connection& source, wire::frame const& received) {
    auto message = received.unpack<Message>();
    if constexpr (requires { message.load; }) {
        if (message.load)
            update_hint(*message.load);
    }
    auto const number = message.attempt;
    bool matched = false;
    bool const accepted = board_.attempts.with([&](stream::attempt_table& attempts) {
        auto* const found = attempts.match({number, number, source.number()});
        matched = found != nullptr;
        return !matched || static_cast<attempt*>(found)->receiver().deliver(number, std::move(message));
    });
    if (!matched) {
        daemon_.metrics().add(metrics::counter_kind::late_answers_dropped);
        log::write(log::event_kind::answer_dropped, {{"peer", target_}, {"attempt", number}});
    }
    if (!accepted)
        source.close(base::make_error(base::error_kind::protocol_error, "more frames than flow control allows"));
}

void agent_link::on_heartbeat(link::connection&, wire::schema::HeartbeatT const& heartbeat) {
    if (heartbeat.load)
        update_hint(*heartbeat.load);
}

void agent_link::update_hint(wire::schema::LoadHintT const& hint) {
    routing::load_hint const value{hint.running, hint.queued, hint.bound, hint.target_incarnation};
    board_.routing.with([&](routing_state& state) {
        state.targets->update_hint(target_, value, base::clock::now());
        state.targets->set_leaving(target_, !hint.accepting);
    });
}

wire::schema::HeartbeatT agent_link::heartbeat_content() {
    wire::schema::HeartbeatT content;
    content.revision = board_.catalogue.with([](auto const& published) { return published->revision(); });
    return content;
}

void agent_link::on_suspect(link::connection& source, membership::link_fault fault) {
    {
        std::scoped_lock const lock{mutex_};
        if (ready_.get() != &source && pending_.get() != &source)
            return; // A fresh connection is being opened already.
    }
    log::write(log::event_kind::link_suspect, {{"peer", target_}, {"silent", membership::name_of(fault)}});
    // Its streams resume on the fresh connection, so nothing waits for the silent one.
    source.close(base::make_error(base::error_kind::link_lost, "the link was silent"));
}

void agent_link::on_closed(link::connection& source, base::error const& reason) {
    lose(source, reason);
    asio::post(strand_, [self = self_pointer{this}] { self->change_timer_.cancel(); });
}

void agent_link::lose(link::connection& source, base::error const& reason) {
    bool was_ready = false;
    {
        std::scoped_lock const lock{mutex_};
        was_ready = ready_.get() == &source;
        if (was_ready)
            ready_.reset();
        if (pending_.get() == &source)
            pending_.reset();
    }
    daemon_.metrics().add(metrics::counter_kind::links_lost);
    log::write(log::event_kind::link_down, {{"peer", target_}, {"reason", reason.message}});
    if (was_ready)
        board_.routing.with([&](routing_state& state) { state.targets->set_link(target_, false, base::clock::now()); });
    board_.attempts.with([&](stream::attempt_table& attempts) {
        for (auto* const lost : attempts.lose_connection(source.number()))
            static_cast<attempt*>(lost)->receiver().deliver(lost->identity().attempt, connection_lost{reason});
    });
}

} // namespace cyclamenledge::entry
