#pragma once

#include "agent/engine_client.h"
#include "link/connection.h"
#include "stream/token_window.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <deque>
#include <mutex>
#include <string>

namespace cyclamenledge::agent {

class generation_run;
using run_pointer = boost::intrusive_ptr<generation_run>;

/// What the agent does when the state of a run changes. Called without locks.
class run_observer {
public:
    run_observer() = default;
    run_observer(run_observer const&) = delete;
    run_observer& operator=(run_observer const&) = delete;
    virtual ~run_observer() = default;

    virtual void on_token(generation_run& run) = 0;
    virtual void on_end(generation_run& run, admission::stream_end end) = 0;
    /// The run has ended and its entry has been sent all of it, or will not fetch the rest. Called once for each run
    /// that was not refused.
    virtual void on_released(generation_run& run) = 0;
};

/// Where the tokens of a run go: one attempt on one connection.
struct run_destination {
    link::connection_pointer connection;
    std::uint64_t attempt{0};
};

/// What an entry asked for.
struct run_request {
    std::uint64_t stream{0};
    std::uint64_t fingerprint{0};
    engine_request engine;
};

/// One generation at the engine. It keeps the tokens that the entry has not acknowledged, so that a broken link loses
/// none.
class generation_run : public boost::intrusive_ref_counter<generation_run>, public boost::intrusive::list_base_hook<> {
public:
    generation_run(boost::asio::any_io_executor strand, engine_client const& engine, run_request request,
                   run_destination destination, run_observer& observer);

    std::uint64_t stream() const { return request_.stream; }
    std::uint64_t fingerprint() const { return request_.fingerprint; }
    std::string const& generation() const { return request_.engine.generation; }

    /// Starts the generation at the engine.
    void start(std::uint32_t priority, std::uint64_t target_incarnation);
    /// Continues a generation that an earlier agent process started at the engine.
    void adopt(std::uint32_t from_index);
    /// Refuses a run that has not started. False when it has been cancelled before.
    bool refuse(base::error reason);
    void cancel();
    void acknowledge(std::uint32_t index);
    /// Sends to another connection from the given index on. False when tokens before it are still missing or gone.
    bool reattach(run_destination destination, std::uint32_t from_index);
    /// The link is lost. The run continues until its buffer is full and ends when nobody resumes it in time.
    void detach(link::connection const& lost, base::duration grace);

private:
    boost::asio::awaitable<void> execute(run_pointer self, bool adopted);
    boost::asio::awaitable<base::result<line_stream_pointer>> open_stream(bool adopted);
    boost::asio::awaitable<base::result<line_stream_pointer>> reopen_stream();
    /// The incarnation that the run started on, when the engine is gone or another one; otherwise zero.
    boost::asio::awaitable<std::uint64_t> crashed_incarnation();
    boost::asio::awaitable<void> wait_for_room();
    boost::asio::awaitable<void> pass_on(line_stream_pointer stream);
    void deliver(std::string text);
    // Both are called with the lock held.
    void pump();
    void release();
    void finish(std::string reason);
    void fail(base::error const& reason, std::uint64_t crashed_incarnation = 0);
    void end(wire::schema::GenerationEndT message, admission::stream_end outcome);
    std::uint32_t next_index();

    boost::asio::any_io_executor strand_;
    engine_client const& engine_;
    run_request request_;
    run_observer& observer_;
    /// Zero before the request may have reached the engine.
    std::uint64_t target_incarnation_{0};
    boost::asio::steady_timer room_timer_;
    boost::asio::steady_timer grace_timer_;

    // Leaf lock over what the link's and the run's executors share. No other lock is taken while it is held.
    std::mutex mutex_;
    run_destination destination_;
    stream::token_window window_;
    /// Tokens that are not acknowledged; the first has the index acknowledged_.
    std::deque<std::string> tokens_;
    std::uint32_t acknowledged_{0};
    std::uint32_t sent_{0};
    bool cancelled_{false};
    bool ended_{false};
    bool end_sent_{false};
    bool released_{false};
    wire::schema::GenerationEndT end_message_;
    http::line_stream* open_stream_{nullptr};
};

} // namespace cyclamenledge::agent
