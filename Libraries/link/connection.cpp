#include "link/connection.h"

#include "base/result.h"
#include "log/logger.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace cyclamenledge::link {

namespace asio = boost::asio;

namespace {

// Flow control bounds tokens per stream; a peer that still lets this much pile up doesn't read any more.
constexpr std::size_t maximum_outbox_bytes = 64UL * 1024 * 1024;

} // namespace

connection::connection(tcp::socket socket, peer_identity peer, handler_pointer handler, metrics::registry& metrics)
    : socket_(std::move(socket))
    , peer_(std::move(peer))
    , handler_(std::move(handler))
    , metrics_(metrics) {}

void connection::start() {
    asio::co_spawn(socket_.get_executor(), receive_frames(self_pointer{this}), asio::detached);
}

void connection::send_frame(wire::message_kind kind, std::string bytes) {
    count(kind, bytes.size(), false);
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
        count(received.value().kind(), received.value().size(), true);
        handler_->on_frame(*this, received.value());
    }
}

void connection::close(base::error reason) {
    asio::post(socket_.get_executor(), [self = self_pointer{this}, why = std::move(reason)] { self->shut_down(why); });
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

void connection::count(wire::message_kind kind, std::size_t bytes, bool received) {
    using enum metrics::counter_kind;
    bool const control = wire::definition_of(kind).traffic == wire::traffic_kind::control;
    metrics_.add(received ? frames_received : frames_sent);
    if (received)
        metrics_.add(control ? control_bytes_received : data_bytes_received, bytes);
    else
        metrics_.add(control ? control_bytes_sent : data_bytes_sent, bytes);
}

} // namespace cyclamenledge::link
