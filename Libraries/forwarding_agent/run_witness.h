#pragma once

#include "forwarding/stop_judgement.h"
#include "http/upstream_connection.h"
#include "link/connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <utility>
#include <vector>

namespace cyclamenledge::forwarding_agent {

/// Answers entries that ask whether the engine works on a run. All calls to the engine go over the connection of the
/// agent that the role hands over, so that they work while the engine refuses new ones.
class run_witness {
public:
    void add(link::connection& entry, wire::schema::RunQuestionT const& question);
    bool asked() const { return !waiting_.empty(); }

    /// Takes the questions that have come. The engine's report must be read after that.
    void begin_answers() { taken_ = std::exchange(waiting_, {}); }
    bool answering() const { return !taken_.empty(); }
    /// Answers the questions that were taken from the engine's report. Runs that are to be stopped are stopped over the
    /// connection, unless it has carried such a call.
    boost::asio::awaitable<void> answer(forwarding::engine_report report, http::upstream_pointer engine);
    /// Answers the questions that were taken while the engine gives no report.
    void answer(forwarding::run_evidence evidence);

private:
    struct open_question {
        link::connection_pointer entry;
        wire::schema::RunQuestionT content;
    };

    boost::asio::awaitable<void> stop(http::upstream_pointer engine, wire::schema::RunQuestionT question,
                                      wire::schema::RunStatementT& statement);

    std::vector<open_question> waiting_;
    std::vector<open_question> taken_;
    /// A run is being stopped over the connection, which can carry no report meanwhile.
    bool stopping_{false};
};

} // namespace cyclamenledge::forwarding_agent
