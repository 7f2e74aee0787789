#include "forwarding_agent/run_witness.h"

#include "log/logger.h"
#include "platform/engine_calls.h"

#include <algorithm>
#include <utility>

namespace cyclamenledge::forwarding_agent {

namespace asio = boost::asio;

namespace {

// Entries wait a little longer. The engine's reports are not read meanwhile.
constexpr base::milliseconds stop_timeout{1000};

wire::schema::RunStatementT make_statement(wire::schema::RunQuestionT const& question,
                                           forwarding::run_evidence evidence) {
    wire::schema::RunStatementT statement;
    statement.question = question.question;
    statement.statement = static_cast<std::uint8_t>(evidence);
    log::write(log::event_kind::run_stated,
               {{"request", question.request}, {"stop", question.stop}, {"evidence", forwarding::name_of(evidence)}});
    return statement;
}

} // namespace

void run_witness::add(link::connection& entry, wire::schema::RunQuestionT const& question) {
    // Without an answer, the entry would take the engine for one that is out of reach.
    if (stopping_) {
        entry.send(make_statement(question, forwarding::run_evidence::may_wait));
        return;
    }
    waiting_.push_back({link::connection_pointer{&entry}, question});
}

asio::awaitable<void> run_witness::answer(forwarding::engine_report report, http::upstream_pointer engine) {
    auto questions = std::exchange(taken_, {});
    // A call that stops a run takes time.
    std::stable_partition(questions.begin(), questions.end(),
                          [](auto const& question) { return !question.content.stop; });
    for (auto const& question : questions) {
        auto const evidence = forwarding::find_evidence(report, question.content.request, question.content.started_at);
        auto statement = make_statement(question.content, evidence);
        bool const stops = question.content.stop && evidence == forwarding::run_evidence::working;
        if (stops && engine->reusable() && !engine->has_request_name(platform::unnamed_call))
            co_await stop(engine, question.content, statement);
        question.entry->send(statement);
    }
}

void run_witness::answer(forwarding::run_evidence evidence) {
    for (auto const& question : std::exchange(taken_, {}))
        question.entry->send(make_statement(question.content, evidence));
}

asio::awaitable<void> run_witness::stop(http::upstream_pointer engine, wire::schema::RunQuestionT question,
                                        wire::schema::RunStatementT& statement) {
    // Reports that follow on the connection are told from a second answer to this call by what they hold.
    engine->add_request_name(platform::unnamed_call);
    platform::copy_command command{question.request, question.destination, true};
    stopping_ = true;
    auto const result = co_await platform::copy_memory(*engine, std::move(command), stop_timeout);
    stopping_ = false;
    statement.stop_call = static_cast<std::uint8_t>(platform::stop_call_of(result)) + 1;
    statement.handle = result.handle;
    statement.events = result.events ? *result.events + 1 : 0;
}

} // namespace cyclamenledge::forwarding_agent
