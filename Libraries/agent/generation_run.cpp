#include "agent/generation_run.h"

#include "log/logger.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenledge::agent {

namespace asio = boost::asio;

namespace {

// A preempted stream may wait for many others; after this time without a line the connection is taken as silent.
constexpr base::milliseconds line_timeout{15000};
constexpr unsigned reopen_attempts = 3;
constexpr base::milliseconds reopen_pause{200};

} // namespace

generation_run::generation_run(asio::any_io_executor strand, engine_client const& engine, run_request request,
                               run_destination destination, run_observer& observer)
    : strand_(std::move(strand))
    , engine_(engine)
    , request_(std::move(request))
    , observer_(observer)
    , room_timer_(strand_)
    , grace_timer_(strand_)
    , destination_(std::move(destination)) {}

void generation_run::start(std::uint32_t priority, std::uint64_t target_incarnation) {
    target_incarnation_ = target_incarnation;
    request_.engine.priority = priority;
    wire::schema::AdmittedT admitted;
    admitted.generation = generation();
    {
        std::scoped_lock const lock{mutex_};
        if (ended_)
            return; // Cancelled while it was queued.
        admitted.attempt = destination_.attempt;
        if (destination_.connection)
            destination_.connection->send(admitted);
    }
    asio::co_spawn(strand_, execute(run_pointer{this}, false), asio::detached);
}

void generation_run::adopt(std::uint32_t from_index) {
    acknowledged_ = from_index;
    sent_ = from_index;
    asio::co_spawn(strand_, execute(run_pointer{this}, true), asio::detached);
}

bool generation_run::refuse(base::error reason) {
    wire::schema::RefusedT refused;
    refused.error = static_cast<std::uint8_t>(reason.kind);
    refused.message = std::move(reason.message);
    refused.retry_after_ms = static_cast<std::uint32_t>(reason.retry_after.value_or(base::milliseconds{0}).count());
    std::scoped_lock const lock{mutex_};
    if (std::exchange(released_, true))
        return false;
    refused.attempt = destination_.attempt;
    ended_ = true;
    if (destination_.connection)
        destination_.connection->send(refused);
    return true;
}

asio::awaitable<void> generation_run::execute(run_pointer, bool adopted) {
    auto opened = co_await open_stream(adopted);
    if (!opened) {
        fail(opened.error(), co_await crashed_incarnation());
        co_return;
    }
    co_await pass_on(std::move(opened).value());
}

asio::awaitable<base::result<line_stream_pointer>> generation_run::open_stream(bool adopted) {
    if (adopted)
        co_return co_await reopen_stream();
    auto opened = co_await engine_.start(request_.engine);
    if (!opened) {
        // An engine that was not reached did not crash because of this request.
        if (opened.error().progress == http::request_progress::not_sent)
            target_incarnation_ = 0;
        co_return base::make_error(base::error_kind::target_failed, opened.error().cause.message);
    }
    co_return std::move(opened).value();
}

asio::awaitable<base::result<line_stream_pointer>> generation_run::reopen_stream() {
    for (unsigned attempt = 0; attempt < reopen_attempts; ++attempt) {
        auto reopened = co_await engine_.resume(generation(), next_index());
        if (reopened) {
            log::write(log::event_kind::generation_resumed, {{"generation", generation()}, {"index", next_index()}});
            co_return std::move(reopened).value();
        }
        if (reopened.error().cause.kind == base::error_kind::not_found)
            break;
        asio::steady_timer pause{strand_, reopen_pause};
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return base::make_error(base::error_kind::generation_lost, "the engine no longer holds the generation");
}

asio::awaitable<std::uint64_t> generation_run::crashed_incarnation() {
    if (target_incarnation_ == 0)
        co_return 0;
    auto const status = co_await engine_.status();
    co_return !status || status.value().incarnation != target_incarnation_ ? target_incarnation_ : 0;
}

asio::awaitable<void> generation_run::pass_on(line_stream_pointer stream) {
    while (true) {
        {
            std::scoped_lock const lock{mutex_};
            open_stream_ = stream.get();
            if (cancelled_)
                co_return;
        }
        auto line = co_await stream->read_line(line_timeout);
        {
            std::scoped_lock const lock{mutex_};
            open_stream_ = nullptr;
            if (cancelled_)
                co_return;
        }
        // A silent or broken connection is replaced; the engine says whether it still holds the generation.
        bool broken = !line || line.value().empty();
        if (!broken) {
            auto parsed = engine_client::parse_line(line.value());
            if (!parsed && parsed.error().kind == base::error_kind::target_failed) {
                fail(parsed.error());
                co_return;
            }
            if (parsed && parsed.value().end && parsed.value().index == next_index()) {
                finish(parsed.value().finish_reason);
                co_return;
            }
            if (parsed && !parsed.value().end && parsed.value().index < next_index())
                continue;
            broken = !parsed || parsed.value().end || parsed.value().index != next_index();
            if (!broken)
                deliver(std::move(parsed).value().text);
        }
        if (broken) {
            stream->close();
            auto reopened = co_await reopen_stream();
            if (!reopened) {
                fail(reopened.error(), co_await crashed_incarnation());
                co_return;
            }
            stream = std::move(reopened).value();
            continue;
        }
        co_await wait_for_room();
    }
}

std::uint32_t generation_run::next_index() {
    std::scoped_lock const lock{mutex_};
    return acknowledged_ + static_cast<std::uint32_t>(tokens_.size());
}

void generation_run::deliver(std::string text) {
    {
        std::scoped_lock const lock{mutex_};
        tokens_.push_back(std::move(text));
        pump();
    }
    observer_.on_token(*this);
}

void generation_run::pump() {
    if (!destination_.connection)
        return;
    auto const unsent = acknowledged_ + static_cast<std::uint32_t>(tokens_.size()) - sent_;
    auto const count = unsent == 0 ? 0 : window_.consume(unsent);
    if (count > 0) {
        wire::schema::TokensT message;
        message.attempt = destination_.attempt;
        message.generation = generation();
        message.first_index = sent_;
        auto const first = tokens_.begin() + (sent_ - acknowledged_);
        message.texts.assign(first, first + count);
        sent_ += count;
        destination_.connection->send(message);
    }
    bool const all_sent = sent_ == acknowledged_ + tokens_.size();
    if (ended_ && all_sent && !end_sent_) {
        end_sent_ = true;
        end_message_.attempt = destination_.attempt;
        destination_.connection->send(end_message_);
        release();
    }
}

void generation_run::release() {
    if (std::exchange(released_, true))
        return;
    asio::post(strand_, [self = run_pointer{this}] { self->observer_.on_released(*self); });
}

asio::awaitable<void> generation_run::wait_for_room() {
    while (true) {
        room_timer_.expires_at(base::time_point::max());
        {
            std::scoped_lock const lock{mutex_};
            if (cancelled_ || tokens_.size() < stream::window_tokens)
                co_return;
        }
        co_await room_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void generation_run::acknowledge(std::uint32_t index) {
    {
        std::scoped_lock const lock{mutex_};
        if (index <= acknowledged_ || index > sent_)
            return;
        auto const count = index - acknowledged_;
        tokens_.erase(tokens_.begin(), tokens_.begin() + count);
        acknowledged_ = index;
        window_.grant(count);
        pump();
    }
    asio::post(strand_, [self = run_pointer{this}] { self->room_timer_.cancel(); });
}

bool generation_run::reattach(run_destination destination, std::uint32_t from_index) {
    {
        std::scoped_lock const lock{mutex_};
        if (from_index < acknowledged_ || from_index > acknowledged_ + tokens_.size())
            return false;
        tokens_.erase(tokens_.begin(), tokens_.begin() + (from_index - acknowledged_));
        acknowledged_ = from_index;
        sent_ = from_index;
        end_sent_ = false;
        window_.reset();
        destination_ = std::move(destination);
        pump();
    }
    asio::post(strand_, [self = run_pointer{this}] {
        self->grace_timer_.cancel();
        self->room_timer_.cancel();
    });
    return true;
}

void generation_run::detach(link::connection const& lost, base::duration grace) {
    {
        std::scoped_lock const lock{mutex_};
        if (destination_.connection.get() != &lost)
            return;
        destination_.connection.reset();
    }
    asio::post(strand_, [self = run_pointer{this}, grace] {
        self->grace_timer_.expires_after(grace);
        self->grace_timer_.async_wait([self](boost::system::error_code const& code) {
            if (!code)
                self->cancel();
        });
    });
}

void generation_run::cancel() {
    {
        std::scoped_lock const lock{mutex_};
        if (ended_) {
            release();
            return;
        }
        cancelled_ = true;
        ended_ = true;
        release();
    }
    asio::post(strand_, [self = run_pointer{this}] {
        self->room_timer_.cancel();
        self->grace_timer_.cancel();
        {
            std::scoped_lock const lock{self->mutex_};
            if (self->open_stream_ != nullptr)
                self->open_stream_->close();
        }
        asio::co_spawn(self->strand_, self->engine_.cancel(self->generation()), asio::detached);
        self->observer_.on_end(*self, admission::stream_end::cancelled);
    });
}

void generation_run::finish(std::string reason) {
    wire::schema::GenerationEndT message;
    message.finish_reason = std::move(reason);
    end(std::move(message), admission::stream_end::completed);
}

void generation_run::fail(base::error const& reason, std::uint64_t crashed_incarnation) {
    wire::schema::GenerationEndT message;
    message.failed = true;
    message.error = static_cast<std::uint8_t>(reason.kind);
    message.message = reason.message;
    message.crashed_incarnation = crashed_incarnation;
    end(std::move(message), admission::stream_end::failed);
}

void generation_run::end(wire::schema::GenerationEndT message, admission::stream_end outcome) {
    {
        std::scoped_lock const lock{mutex_};
        if (cancelled_ || ended_)
            return;
        ended_ = true;
        message.generation = generation();
        message.count = acknowledged_ + static_cast<std::uint32_t>(tokens_.size());
        end_message_ = std::move(message);
        pump();
    }
    observer_.on_end(*this, outcome);
}

} // namespace cyclamenledge::agent
