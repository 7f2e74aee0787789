#include "link/connection.h"

#include "base/result.h"
#include "log/logger.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace cyclamenledge::link {

namespace asio = boost::asio;

namespace {

// Flow control bounds the tokens per stream, so a peer with a larger outbox has stopped reading.
constexpr std::size_t maximum_outbox_bytes = 64UL * 1024 * 1024;

std::atomic<std::uint64_t> next_connection_number{1};

std::uint64_t stamp_of(base::time_point now) {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<base::milliseconds>(now.time_since_epoch()).count());
}

base::time_point time_of(std::uint64_t stamp) {
    return base::time_point{base::milliseconds{static_cast<std::int64_t>(stamp)}};
}

} // namespace

connection::connection(tcp::socket socket, peer_identity peer, handler_pointer handler, metrics::registry& metrics)
    : socket_(std::move(socket))
    , peer_(std::move(peer))
    , handler_(std::move(handler))
    , metrics_(metrics)
    , number_(next_connection_number.fetch_add(1))
    , monitor_(base::clock::now()) {
    boost::system::error_code ignored;
    socket_.set_option(tcp::no_delay{true}, ignored);
}

base::duration connection::stamp_age(std::uint64_t stamp, base::time_point now) {
    return now - time_of(stamp);
}

void connection::start() {
    asio::co_spawn(socket_.get_executor(), receive_frames(self_pointer{this}), asio::detached);
    asio::co_spawn(socket_.get_executor(), send_heartbeats(self_pointer{this}), asio::detached);
}

asio::awaitable<void> connection::send_heartbeats(self_pointer) {
    asio::steady_timer timer{socket_.get_executor()};
    while (!closed_) {
        auto const now = base::clock::now();
        auto const actions = monitor_.tick(now);
        if (actions.send_heartbeat)
            send_heartbeat(now);
        if (actions.fault != membership::link_fault::none && handler_)
            handler_->on_suspect(*this, actions.fault);
        timer.expires_after(membership::tick_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void connection::send_heartbeat(base::time_point now) {
    auto heartbeat = handler_->heartbeat_content();
    heartbeat.stamp = stamp_of(now);
    heartbeat.echo = peer_stamp();
    send(heartbeat);
}

void connection::receive_heartbeat(wire::schema::HeartbeatT const& heartbeat) {
    monitor_.on_echo(heartbeat.echo == 0 ? std::nullopt : std::optional{time_of(heartbeat.echo)}, base::clock::now());
    bool const first = peer_stamp_.exchange(heartbeat.stamp) == 0;
    if (first)
        handler_->on_ready(*this);
    if (handler_)
        handler_->on_heartbeat(*this, heartbeat);
}

void connection::send_frame(wire::message_kind kind, std::string bytes) {
    count_traffic(kind, bytes.size(), false);
    {
        std::scoped_lock const lock{outbox_mutex_};
        if (closed_)
            return;
        outbox_bytes_ += bytes.size();
        outbox_.push_back(std::move(bytes));
        if (writing_)
            return;
        writing_ = true;
    }
    asio::co_spawn(socket_.get_executor(), write_outbox(self_pointer{this}), asio::detached);
}

asio::awaitable<void> connection::write_outbox(self_pointer) {
    std::vector<std::string> batch;
    std::vector<asio::const_buffer> buffers;
    while (true) {
        bool over_bound = false;
        {
            std::scoped_lock const lock{outbox_mutex_};
            batch.clear();
            batch.swap(outbox_);
            over_bound = outbox_bytes_ > maximum_outbox_bytes;
            outbox_bytes_ = 0;
            if (batch.empty()) {
                writing_ = false;
                co_return;
            }
        }
        if (over_bound) {
            shut_down(base::make_error(base::error_kind::link_lost, "the peer does not read"));
            co_return;
        }
        buffers.clear();
        for (auto const& bytes : batch)
            buffers.emplace_back(asio::buffer(bytes));
        auto [code, written] = co_await asio::async_write(socket_, buffers, asio::as_tuple(asio::use_awaitable));
        if (code) {
            shut_down(base::make_error(base::error_kind::link_lost, code.message()));
            co_return;
        }
    }
}

asio::awaitable<void> connection::receive_frames(self_pointer) {
    while (true) {
        auto received = co_await read_frame(socket_);
        if (!received) {
            shut_down(received.error());
            co_return;
        }
        // The connection may have been closed while this frame was waiting to be handled.
        if (closed_)
            co_return;
        count_traffic(received.value().kind(), received.value().size(), true);
        monitor_.on_frame(base::clock::now());
        if (received.value().kind() == wire::message_kind::heartbeat)
            receive_heartbeat(received.value().unpack<wire::schema::HeartbeatT>());
        else
            handler_->on_frame(*this, received.value());
        if (closed_)
            co_return;
    }
}

void connection::close(base::error reason) {
    asio::post(socket_.get_executor(),
               [self = self_pointer{this}, close_reason = std::move(reason)] { self->shut_down(close_reason); });
}

void connection::shut_down(base::error reason) {
    if (closed_.exchange(true))
        return;
    boost::system::error_code ignored;
    socket_.close(ignored);
    auto const handler = std::exchange(handler_, nullptr);
    if (reason.kind == base::error_kind::protocol_error)
        log::write(log::event_kind::frame_invalid, {{"peer", peer_.process}, {"reason", reason.message}});
    handler->on_closed(*this, reason);
}

void connection::count_traffic(wire::message_kind kind, std::size_t bytes, bool received) {
    using enum metrics::counter_kind;
    bool const control = wire::definition_of(kind).traffic == wire::traffic_kind::control;
    metrics_.add(received ? frames_received : frames_sent);
    if (received)
        metrics_.add(control ? control_bytes_received : data_bytes_received, bytes);
    else
        metrics_.add(control ? control_bytes_sent : data_bytes_sent, bytes);
}

} // namespace cyclamenledge::link
