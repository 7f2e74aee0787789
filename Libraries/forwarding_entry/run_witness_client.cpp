#include "forwarding_entry/run_witness_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

// Three times the round trip to the furthest region.
constexpr base::milliseconds answer_timeout{150};
// The answer comes when the agent's call has been answered, see forwarding_agent.
constexpr base::milliseconds stop_timeout{1200};

} // namespace

asio::awaitable<run_statement> run_witness_client::open_question::wait() {
    question_pointer const self{this};
    if (!answered_)
        co_await timer_.async_wait(asio::as_tuple(asio::use_awaitable));
    co_return statement_;
}

run_witness_client::run_witness_client(asio::io_context& context, link::hub& hub, agent_directory& agents)
    : context_(context)
    , agents_(agents) {
    hub.handle<wire::schema::RunStatementT>(
        [this](link::connection&, wire::schema::RunStatementT const& message) { on_statement(message); });
}

run_witness_client::question_pointer run_witness_client::ask(run_question const& asked) {
    return send(asked, {}, answer_timeout);
}

run_witness_client::question_pointer run_witness_client::ask_to_stop(run_question const& asked,
                                                                     std::string const& destination) {
    wire::schema::RunQuestionT message;
    message.stop = true;
    message.destination = destination;
    return send(asked, std::move(message), stop_timeout);
}

run_witness_client::question_pointer
run_witness_client::send(run_question const& asked, wire::schema::RunQuestionT message, base::milliseconds timeout) {
    question_pointer const question{new open_question{context_, timeout}};
    auto const agent = agents_.find(asked.address);
    if (!agent) {
        question->answered_ = true;
        return question;
    }
    message.question = ++last_question_;
    message.request = asked.request;
    message.started_at = asked.started_at;
    // Questions that time out are dropped here, because nobody may wait for them.
    std::erase_if(open_, [](auto const& item) { return item.second->timer_.expiry() < base::clock::now(); });
    open_.emplace(message.question, question);
    agent->send(message);
    return question;
}

void run_witness_client::on_statement(wire::schema::RunStatementT const& message) {
    auto const found = open_.extract(message.question);
    auto const evidence = forwarding::parse_stated_evidence(message.statement);
    if (found.empty() || !evidence)
        return;
    auto& question = *found.mapped();
    question.statement_.evidence = *evidence;
    if (message.stop_call > 0)
        question.statement_.call = forwarding::parse_stop_call(message.stop_call - 1);
    question.statement_.handle = message.handle;
    if (message.events > 0)
        question.statement_.events = message.events - 1;
    question.answered_ = true;
    question.timer_.cancel();
}

} // namespace cyclamenledge::forwarding_entry
