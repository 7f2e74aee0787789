#include "entry/call_exchange.h"

#include "log/logger.h"

#include <tuple>
#include <utility>

namespace cyclamenledge::entry {

namespace asio = boost::asio;

namespace {

// For calls without a deadline. A caller that waits longer learns more from asking for its key again.
constexpr base::seconds default_deadline{30};
constexpr base::milliseconds network_transit{1};

} // namespace

call_exchange::call_exchange(process::runtime& daemon, blackboard& board, agent_links& links, caller from,
                             plain_call call, http::session_pointer client)
    : daemon_(daemon)
    , board_(board)
    , links_(links)
    , caller_(std::move(from))
    , call_(std::move(call))
    , client_(std::move(client))
    , mailbox_(new mailbox{client_->executor()})
    , deadline_(caller_.deadline.value_or(base::clock::now() + default_deadline))
    , started_at_(base::clock::now())
    , deadline_timer_(client_->executor()) {}

void call_exchange::watch_deadline() {
    deadline_timer_.expires_at(deadline_);
    deadline_timer_.async_wait([receiver = mailbox_](boost::system::error_code const& code) {
        if (!code)
            receiver->deliver(0, deadline_passed{});
    });
}

void call_exchange::on_caller_gone() {
    gone_ = true;
    mailbox_->deliver(0, caller_gone{});
}

wire::schema::SubmitCallT call_exchange::make_submit() const {
    auto message = to_message(call_);
    message.organisation = caller_.organisation->name;
    message.service = caller_.service->name;
    message.service_class = caller_.service_class->name;
    message.revision = caller_.catalogue->revision();
    auto const left = std::chrono::floor<base::milliseconds>(deadline_ - base::clock::now()) - network_transit;
    message.remaining_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(left.count(), 1));
    return message;
}

asio::awaitable<void> call_exchange::answer(http::response response) {
    daemon_.metrics().add(metrics::counter_kind::answers_ok);
    daemon_.metrics().observe(metrics::distribution_kind::call_duration,
                              base::to_seconds(base::clock::now() - started_at_) * 1000);
    std::ignore = co_await client_->send(std::move(response));
}

asio::awaitable<void> call_exchange::fail(base::error failure) {
    bool const refused = base::answer_for(failure.kind).run == base::run_statement::not_run;
    daemon_.metrics().add(refused ? metrics::counter_kind::answers_refused : metrics::counter_kind::answers_failed);
    std::ignore = co_await client_->send(http::make_error_response(failure));
}

void call_exchange::drop_answer(attempt_event const& event) {
    daemon_.metrics().add(metrics::counter_kind::late_answers_dropped);
    log::write(log::event_kind::answer_dropped, {{"attempt", event.attempt}});
}

} // namespace cyclamenledge::entry
