#pragma once

#include "forwarding/stop_judgement.h"
#include "forwarding_entry/agent_directory.h"
#include "link/hub.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// What the agent beside a target has said of a run.
struct run_statement {
    forwarding::run_evidence evidence{forwarding::run_evidence::none};
    /// What came of the agent's call that was to stop the run. Empty unless it made one.
    std::optional<forwarding::stop_call> call;
    /// See stop_answer.
    std::string handle;
    std::optional<std::uint64_t> events;
};

/// Asks the agent beside a target whether the target works on a run. The agent reads its target's report many times a
/// second over a connection that it holds, so it can tell when a target that refuses connections lives on.
class run_witness_client {
public:
    struct run_question {
        /// IP:PORT of the target.
        std::string address;
        /// Empty to ask only for the incarnation.
        std::string request;
        /// Start of the incarnation that began the run, see target_record.
        std::int64_t started_at{0};
    };

    /// A question that was sent.
    class open_question : public boost::intrusive_ref_counter<open_question, boost::thread_unsafe_counter> {
    public:
        open_question(boost::asio::io_context& context, base::milliseconds timeout)
            : timer_(context, timeout) {}
        /// Returns without evidence if the agent does not answer in time.
        boost::asio::awaitable<run_statement> wait();

    private:
        friend class run_witness_client;

        boost::asio::steady_timer timer_;
        run_statement statement_;
        bool answered_{false};
    };
    using question_pointer = boost::intrusive_ptr<open_question>;

    run_witness_client(boost::asio::io_context& context, link::hub& hub, agent_directory& agents);

    /// Asks at once, and waits for the answer when it is needed.
    question_pointer ask(run_question const& asked);
    /// Has the agent stop the run, with the memory going to the destination. The statement is empty if the agent does
    /// not answer in time, and then the run may have been stopped.
    question_pointer ask_to_stop(run_question const& asked, std::string const& destination);

private:
    question_pointer send(run_question const& asked, wire::schema::RunQuestionT message, base::milliseconds timeout);
    void on_statement(wire::schema::RunStatementT const& message);

    boost::asio::io_context& context_;
    agent_directory& agents_;
    std::uint64_t last_question_{0};
    std::map<std::uint64_t, question_pointer> open_;
};

} // namespace cyclamenledge::forwarding_entry
