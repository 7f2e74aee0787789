#pragma once

#include "agent/blackboard.h"
#include "agent/generation_run.h"
#include "process/runtime.h"

#include <boost/asio/strand.hpp>

#include <atomic>

namespace cyclamenledge::agent {

/// Takes generations from entries, puts them through admission and runs them at the engine.
class generation_controller : public run_observer, public link::hub_observer {
public:
    generation_controller(process::runtime& daemon, blackboard& board, engine_client const& engine);

    /// Registers for frames and starts the loops that watch the engine and the queue.
    void start();

    void submit(link::connection& source, wire::schema::SubmitGenerationT const& message);
    void cancel(link::connection const& source, std::uint64_t attempt);
    void acknowledge(link::connection const& source, std::uint64_t attempt, std::uint32_t index);
    void on_disconnected(link::connection& lost, base::error const& reason) override;
    void fill_heartbeat(wire::schema::HeartbeatT& content) override;

    void on_token(generation_run& run) override;
    void on_end(generation_run& run, admission::stream_end end) override;
    void on_released(generation_run& run) override;

    /// The load hint for heartbeats and answers.
    wire::schema::LoadHintT hint() const;

private:
    boost::asio::awaitable<void> watch_engine();
    boost::asio::awaitable<void> watch_queue();
    void apply(std::vector<admission::admission_decision> const& decisions);
    void apply(admission::admission_decision const& decision);
    void admit(generation_run& run, admission::admission_decision const& decision);
    void wait(generation_run& run, admission::admission_decision const& decision);
    void refuse(generation_run& run, admission::admission_decision const& decision);
    std::optional<base::error> refusal_reason() const;
    bool resume(link::connection& source, wire::schema::SubmitGenerationT const& message);
    run_pointer make_run(link::connection& source, wire::schema::SubmitGenerationT const& message,
                         std::string generation);
    bool reattach(generation_run& run, link::connection& source, wire::schema::SubmitGenerationT const& message);
    run_pointer find_attempt(link::connection const& source, std::uint64_t attempt);
    void forget_later(std::uint64_t stream);

    process::runtime& daemon_;
    blackboard& board_;
    engine_client const& engine_;
    boost::asio::strand<boost::asio::io_context::executor_type> strand_;
    std::atomic<std::uint64_t> next_stream_{1};
};

} // namespace cyclamenledge::agent
