#include "agent/generation_controller.h"

#include "base/hash.h"
#include "log/logger.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <array>
#include <cinttypes>
#include <cstdio>
#include <utility>

namespace cyclamenledge::agent {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds status_interval{500};
constexpr base::milliseconds longest_queue_poll{100};
// How long a run waits for its entry to come back before it is cancelled, and how long an ended one can be resumed.
constexpr base::seconds resume_grace{10};
constexpr base::milliseconds unreachable_retry{1000};
// Tokens are estimated from bytes, because tokenizers differ by model.
constexpr std::size_t bytes_per_token = 4;

std::uint32_t estimate_tokens(std::string const& prompt) {
    return static_cast<std::uint32_t>((prompt.size() + bytes_per_token - 1) / bytes_per_token);
}

std::string generation_name(std::uint64_t incarnation, std::uint64_t stream) {
    std::array<char, 40> buffer{};
    std::snprintf(buffer.data(), buffer.size(), "%016" PRIx64 "-%" PRIu64, incarnation, stream);
    return buffer.data();
}

admission::admission_request to_admission(std::uint64_t stream, wire::schema::SubmitGenerationT const& message) {
    admission::admission_request request;
    request.stream = stream;
    request.organisation = base::hash_text(message.organisation);
    request.service_class = base::hash_text(message.service_class);
    request.model = base::hash_text(message.service);
    request.prompt_tokens = estimate_tokens(message.prompt);
    request.maximum_output_tokens = message.max_tokens;
    if (message.remaining_ms > 0)
        request.deadline = base::clock::now() + base::milliseconds{message.remaining_ms};
    return request;
}

void send_refusal(link::connection& to, std::uint64_t attempt, base::error const& reason) {
    wire::schema::RefusedT refused;
    refused.attempt = attempt;
    refused.error = static_cast<std::uint8_t>(reason.kind);
    refused.message = reason.message;
    refused.retry_after_ms = static_cast<std::uint32_t>(reason.retry_after.value_or(base::milliseconds{0}).count());
    to.send(refused);
}

} // namespace

generation_controller::generation_controller(process::runtime& daemon, blackboard& board, engine_client const& engine)
    : daemon_(daemon)
    , board_(board)
    , engine_(engine)
    , strand_(asio::make_strand(daemon.context())) {}

void generation_controller::start() {
    auto& hub = daemon_.hub();
    hub.handle<wire::schema::SubmitGenerationT>(
        [this](link::connection& source, auto const& message) { submit(source, message); });
    hub.handle<wire::schema::CancelT>(
        [this](link::connection& source, auto const& message) { cancel(source, message.attempt); });
    hub.handle<wire::schema::WindowT>([this](link::connection& source, auto const& message) {
        acknowledge(source, message.attempt, message.acknowledged);
    });
    hub.add_observer(*this);
    asio::co_spawn(strand_, watch_engine(), asio::detached);
    asio::co_spawn(strand_, watch_queue(), asio::detached);
}

asio::awaitable<void> generation_controller::watch_engine() {
    asio::steady_timer timer{strand_};
    bool reachable = true;
    while (true) {
        auto const status = co_await engine_.status();
        auto const now = base::clock::now();
        if (status) {
            auto const& report = status.value();
            auto const decisions = board_.admission.with([&](auto& controller) {
                if (!controller)
                    return std::vector<admission::admission_decision>{};
                controller->on_incarnation(report.incarnation, report.uptime, now);
                controller->on_load_report(report.load, now);
                return controller->poll(now);
            });
            bool const restarted = board_.target.with([&](target_view& view) {
                bool const changed = view.incarnation != 0 && view.incarnation != report.incarnation;
                if (report.preemptions > view.preemptions && !changed)
                    daemon_.metrics().add(metrics::counter_kind::preemptions, report.preemptions - view.preemptions);
                view.reachable = true;
                view.incarnation = report.incarnation;
                view.preemptions = report.preemptions;
                return changed;
            });
            if (restarted)
                log::write(log::event_kind::target_restarted, {{"incarnation", report.incarnation}});
            apply(decisions);
        }
        if (!status)
            board_.target.with([](target_view& view) { view.reachable = false; });
        if (status.has_value() != reachable) {
            reachable = status.has_value();
            if (reachable)
                log::write(log::event_kind::target_reachable);
            else
                log::write(log::event_kind::target_unreachable, {{"reason", status.error().message}});
        }
        timer.expires_after(status_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> generation_controller::watch_queue() {
    asio::steady_timer timer{strand_};
    while (true) {
        auto const now = base::clock::now();
        auto const [decisions, next] = board_.admission.with([&](auto& controller) {
            if (!controller)
                return std::pair{std::vector<admission::admission_decision>{}, base::time_point::max()};
            return std::pair{controller->poll(now), controller->next_poll()};
        });
        apply(decisions);
        timer.expires_at(std::min(next, now + longest_queue_poll));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::optional<base::error> generation_controller::refusal_reason() const {
    auto const view = board_.target.with([](target_view const& current) { return current; });
    auto const* self = view.catalogue ? view.catalogue->find_target(daemon_.settings().name) : nullptr;
    if (self == nullptr || !view.catalogue->in_service(*self))
        return base::make_error(base::error_kind::out_of_service, "the target is out of service");
    if (view.vm_leaving)
        return base::make_error(base::error_kind::leaving, "the VM of the target is leaving");
    if (!view.reachable)
        return base::make_error(base::error_kind::overloaded, "the target cannot be reached", unreachable_retry);
    return std::nullopt;
}

void generation_controller::submit(link::connection& source, wire::schema::SubmitGenerationT const& message) {
    if (!message.resume_generation.empty()) {
        if (!resume(source, message)) {
            send_refusal(source, message.attempt,
                         base::make_error(base::error_kind::generation_lost, "the generation cannot be resumed here"));
        }
        return;
    }
    if (auto const reason = refusal_reason()) {
        send_refusal(source, message.attempt, *reason);
        return;
    }
    if (!daemon_.begin_request()) {
        send_refusal(source, message.attempt, base::make_error(base::error_kind::leaving, "the agent is stopping"));
        return;
    }
    auto const run = make_run(source, message, {});
    auto const request = to_admission(run->stream(), message);
    board_.runs.with([&](run_table& table) { table.insert(*run, {source.number(), message.attempt}); });
    auto const now = base::clock::now();
    apply(board_.admission.with([&](auto& controller) { return controller->offer(request, now); }));
}

run_pointer generation_controller::make_run(link::connection& source, wire::schema::SubmitGenerationT const& message,
                                            std::string generation) {
    run_request request;
    request.stream = next_stream_.fetch_add(1);
    request.fingerprint = message.fingerprint;
    if (generation.empty())
        generation = generation_name(daemon_.identity().incarnation, request.stream);
    request.engine = {std::move(generation), message.prompt, message.max_tokens, message.priority};
    run_destination destination{link::connection_pointer{&source}, message.attempt};
    return run_pointer{new generation_run{asio::make_strand(daemon_.context()), engine_, std::move(request),
                                          std::move(destination), *this}};
}

bool generation_controller::resume(link::connection& source, wire::schema::SubmitGenerationT const& message) {
    auto const known =
        board_.runs.with([&](run_table& table) { return table.find_generation(message.resume_generation); });
    if (known)
        return reattach(*known, source, message);
    // Without a catalogue there is no admission yet that could count the generation.
    if (!board_.admission.with([](auto const& controller) { return controller.has_value(); }))
        return false;
    if (!daemon_.begin_request())
        return false;
    // An earlier agent process may have started the generation; the engine knows whether it still holds it.
    auto const run = make_run(source, message, message.resume_generation);
    auto const request = to_admission(run->stream(), message);
    board_.runs.with([&](run_table& table) { table.insert(*run, {source.number(), message.attempt}); });
    board_.admission.with(
        [&](auto& controller) { controller->adopt(request, message.resume_index, base::clock::now()); });
    run->adopt(message.resume_index);
    return true;
}

bool generation_controller::reattach(generation_run& run, link::connection& source,
                                     wire::schema::SubmitGenerationT const& message) {
    if (!run.reattach({link::connection_pointer{&source}, message.attempt}, message.resume_index))
        return false;
    board_.runs.with([&](run_table& table) { table.set_attempt(run, {source.number(), message.attempt}); });
    return true;
}

void generation_controller::apply(std::vector<admission::admission_decision> const& decisions) {
    for (auto const& decision : decisions)
        apply(decision);
}

void generation_controller::apply(admission::admission_decision const& decision) {
    using action = void (generation_controller::*)(generation_run&, admission::admission_decision const&);
    static constexpr std::array<action, 3> actions{&generation_controller::admit, &generation_controller::wait,
                                                   &generation_controller::refuse};
    auto const run = board_.runs.with([&](run_table& table) { return table.find(decision.stream); });
    if (run)
        (this->*actions.at(static_cast<std::size_t>(decision.outcome)))(*run, decision);
}

void generation_controller::admit(generation_run& run, admission::admission_decision const& decision) {
    auto const incarnation = board_.target.with([](target_view const& view) { return view.incarnation; });
    run.start(decision.priority, incarnation);
}

void generation_controller::wait(generation_run&, admission::admission_decision const&) {}

void generation_controller::refuse(generation_run& run, admission::admission_decision const& decision) {
    board_.runs.with([&](run_table& table) { table.remove(run.stream()); });
    if (run.refuse(base::make_error(decision.error, "the target has no room", decision.retry_after)))
        daemon_.end_request();
}

run_pointer generation_controller::find_attempt(link::connection const& source, std::uint64_t attempt) {
    return board_.runs.with([&](run_table& table) { return table.find_attempt(source.number(), attempt); });
}

void generation_controller::cancel(link::connection const& source, std::uint64_t attempt) {
    if (auto const run = find_attempt(source, attempt))
        run->cancel();
}

void generation_controller::acknowledge(link::connection const& source, std::uint64_t attempt, std::uint32_t index) {
    if (auto const run = find_attempt(source, attempt))
        run->acknowledge(index);
}

void generation_controller::on_disconnected(link::connection& lost, base::error const&) {
    for (auto const& run : board_.runs.with([](run_table& table) { return table.all(); }))
        run->detach(lost, resume_grace);
}

void generation_controller::fill_heartbeat(wire::schema::HeartbeatT& content) {
    content.load = std::make_unique<wire::schema::LoadHintT>(hint());
}

void generation_controller::on_token(generation_run& run) {
    daemon_.metrics().add(metrics::counter_kind::tokens);
    board_.admission.with([&](auto& controller) { controller->on_token(run.stream(), 1, base::clock::now()); });
}

void generation_controller::on_end(generation_run& run, admission::stream_end end) {
    auto const now = base::clock::now();
    auto const decisions = board_.admission.with([&](auto& controller) {
        controller->on_end(run.stream(), end, now);
        return controller->poll(now);
    });
    forget_later(run.stream());
    apply(decisions);
}

// A planned stop waits for the entry too: tokens that it could not fetch while its link was down would be lost.
void generation_controller::on_released(generation_run&) {
    daemon_.end_request();
}

void generation_controller::forget_later(std::uint64_t stream) {
    auto timer = std::make_shared<asio::steady_timer>(strand_, resume_grace);
    timer->async_wait([this, stream, timer](boost::system::error_code const&) {
        board_.runs.with([&](run_table& table) { table.remove(stream); });
    });
}

wire::schema::LoadHintT generation_controller::hint() const {
    auto const current = board_.admission.with(
        [](auto const& controller) { return controller ? controller->hint() : admission::load_hint{}; });
    wire::schema::LoadHintT message;
    message.running = current.running;
    message.queued = current.queued;
    message.bound = current.warmup_bound;
    message.memory_used = current.held_fraction;
    message.warm = current.warm;
    message.accepting = daemon_.drain_state() < membership::drain_state::refusing && !refusal_reason();
    message.target_incarnation = current.incarnation;
    return message;
}

} // namespace cyclamenledge::agent
