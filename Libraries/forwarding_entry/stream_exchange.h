#pragma once

#include "forwarding/stream_origin_decision.h"
#include "forwarding/stream_relay.h"
#include "forwarding_entry/entry_parts.h"
#include "forwarding_entry/request_context.h"
#include "forwarding_entry/retry_gate.h"
#include "forwarding_entry/run_stopper.h"
#include "forwarding_entry/send_result.h"
#include "forwarding_entry/stream_registry.h"
#include "forwarding_entry/stream_run.h"
#include "platform/engine_calls.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// Serves one request whose answer is a stream of events. When the engine of a run leaves, the request's memory is
/// copied to another engine, the run is stopped, and a run at the other engine resumes the stream.
class stream_exchange : public boost::intrusive_ref_counter<stream_exchange>, public stream_hook {
public:
    stream_exchange(entry_parts& parts, request_context request);

    boost::asio::awaitable<void> run();
    /// Moves the run to another target if its engine is leaving.
    void on_fleet_change();

private:
    using self_pointer = boost::intrusive_ptr<stream_exchange>;

    enum class phase : std::uint8_t {
        /// No run exists; one has to be placed and started.
        needs_run,
        running,
        complete,
        /// A complete answer of a target or of this process is sent in place of the stream.
        answered,
        failed,
    };

    /// A copy of the request's memory at a target that can resume from it.
    struct resumable_copy {
        std::string target;
        platform::memory_copy memory;
        bool at_stopped_source{false};
        /// Opened before the run was stopped. Null otherwise.
        http::upstream_pointer connection;
    };

    /// Whether the retry budget has been asked for a resumption.
    enum class charge_state : std::uint8_t { open, charged };

    /// All that a run at another target needs: a placement, a connection and the retry budget.
    struct prepared_run {
        /// The run that is ended for it.
        forwarding::run_number replaced{forwarding::no_run};
        std::string target;
        http::upstream_pointer connection;
        retry_decision decision;
    };

    // The version of the software that began the stream.
    /// Finds it for a stream that the caller takes up again. Otherwise the first event decides.
    boost::asio::awaitable<void> find_origin();
    /// Decides by what is known now, and sets the version if it is known.
    forwarding::origin_source judge_origin();
    void set_origin(std::string const& software_version);
    /// Since when the caller waits for the next event.
    base::time_point waits_since() const { return event_count_ > 0 ? last_event_at_ : request_.arrived; }

    // Runs.
    boost::asio::awaitable<void> start_first_run();
    /// How long a connection may have been idle that carries the request.
    base::milliseconds maximum_idle() const;
    void start_run_at(std::string const& target, http::upstream_pointer connection);
    stream_run_pointer make_run(forwarding::run_number number, std::string const& target);
    void launch(stream_run_pointer const& started);
    boost::asio::awaitable<void> serve_run(stream_run_pointer current);
    boost::asio::awaitable<send_result> send_and_read(stream_run_pointer current);
    boost::asio::awaitable<send_result> read_events(stream_run_pointer current, http::response_head head);
    bool forward_events(stream_run& current);
    /// The caller gets the head of the run that begins its events, and a stream that goes on keeps it.
    void use_head_of(stream_run const& run);
    /// Whether the end of the connection is the end of the run's answer, which has neither a length nor chunks.
    boost::asio::awaitable<bool> ended_whole(stream_run_pointer current);
    void log_run_sent(stream_run const& started) const;
    void log_run_ended(stream_run const& ended, send_result const& result);
    /// Returns when the caller has read most of the events, so that those of an endless stream are not all stored.
    boost::asio::awaitable<void> wait_for_caller(stream_run& current);

    // Stalled runs.
    boost::asio::awaitable<void> watch_for_stall(self_pointer self, stream_run_pointer current);
    std::optional<forwarding::stall_rule> stall_rule_of(stream_run const& current) const;
    /// Returns whether another run has taken over, or will as soon as this one has ended.
    boost::asio::awaitable<bool> handle_stall(stream_run_pointer current, forwarding::stall_action action);
    boost::asio::awaitable<std::optional<prepared_run>> prepare_replacement(stream_run_pointer current);
    void start_replacement(std::string_view last_reason);
    void discard_replacement();
    void withdraw(prepared_run const& unused);
    placement_need make_need(std::vector<std::string> const& excluded);
    forwarding::attempt_facts make_attempt_facts(send_result const& last) const;
    /// Whether the request is known to crash targets, so that no other one may get it.
    bool learn_refusal();

    void on_end(stream_run_pointer ended, send_result result);
    void recover(stream_run_pointer ended, send_result result);
    /// Sends the request again without a copy, or ends the stream.
    void recover_without_copy(stream_run& ended, send_result result);

    // Handing a stream over from one target to another: the run is stopped first, and its request is sent to the next
    // target only when it has ended or its target is out of reach.
    boost::asio::awaitable<void> hand_over_lost(self_pointer self, stream_run_pointer source, send_result result);
    /// Returns whether nothing more is to be done for the run.
    boost::asio::awaitable<bool> hand_over(stream_run_pointer source, forwarding::run_condition condition);
    boost::asio::awaitable<stop_answer> stop(stream_run_pointer source, forwarding::run_condition condition);
    /// Takes the copies from which the stream may go on, the best one first.
    std::vector<resumable_copy> take_copies(stream_run& source, std::span<forwarding::memory_place const> places,
                                            stop_answer const& stopped);
    /// IP:PORT of the engine that gets the memory of a run that is stopped.
    std::string stop_destination(stream_run const& source) const;
    bool has_copy(stream_run const& source) const;
    /// Waits for what the stopped target had still sent.
    boost::asio::awaitable<void> wait_for_end(stream_run_pointer source);
    /// Whether the target that was stopped may go on with its run.
    bool may_return_to_source(stream_run const& source) const;
    /// Sends the request to the first target that may get it. Returns whether it did.
    bool start_from_next_copy(charge_state charge);
    /// Counts a resumption in the retry budget. The first one that takes over from a run needs no permission.
    bool charge_resumption(stream_run const& source);
    stream_run_pointer make_resuming_run(forwarding::run_number number, stream_run& source, resumable_copy copy);
    void on_takeover(stream_run const& successor, forwarding::stream_event const& event);
    void choose_backup(stream_run& started);
    void cancel_others(forwarding::run_number kept);

    /// What the agent has to know of the end of a run.
    run_end describe_end(stream_run const& ended, send_result const& result) const;

    // Moving.
    boost::asio::awaitable<void> move_to_other_target(self_pointer self);
    /// Returns how far the memory may be copied. Another region is allowed only when the copy can complete before the
    /// engine stops.
    forwarding::copy_span widest_copy(stream_run const& source) const;
    boost::asio::awaitable<bool> try_move(stream_run_pointer source, std::vector<std::string>& refused);
    /// Copies the memory to the chosen target while the run goes on, and then stops the run.
    boost::asio::awaitable<bool> copy_and_hand_over(stream_run_pointer source);
    boost::asio::awaitable<bool> copy_while_running(stream_run_pointer source);
    boost::asio::awaitable<platform::copy_result> copy_once(stream_run_pointer source);
    /// Opens the connections that a hand-over needs, so that their round trips are no pause of the stream.
    boost::asio::awaitable<void> open_connections(self_pointer self, stream_run_pointer source);
    void release_connections(stream_run& source);
    boost::asio::awaitable<void> pause(base::milliseconds length);

    // The caller.
    boost::asio::awaitable<void> write_to_caller();
    boost::asio::awaitable<void> finish();
    void on_caller_left();
    void wake() { wake_timer_.cancel(); }
    void fail(base::error failure, std::string_view reason);

    stream_run_pointer find_run(forwarding::run_number number) const;
    /// Formats the target's last reported load for the log.
    std::string describe_room(std::string const& target) const;
    std::uint32_t tokens_held() const;
    base::milliseconds expected_remaining() const;

    entry_parts& parts_;
    request_context request_;
    forwarding::engine_capacity const* engine_;
    forwarding::stream_relay relay_;
    boost::asio::steady_timer wake_timer_;
    boost::asio::steady_timer end_timer_;
    phase phase_{phase::needs_run};
    std::vector<stream_run_pointer> runs_;
    std::vector<std::string> tried_targets_;
    std::uint32_t possible_runs_{0};
    std::uint32_t unsent_attempts_{0};
    /// Why the request is not sent to another target, for the log.
    std::string_view not_repeated_{retry_reason::final_outcome};
    /// Set when the running attempt was ended for it.
    std::optional<prepared_run> replacement_;
    /// The run that was stopped last, and the copies of its memory that were not used yet.
    stream_run_pointer stopped_run_;
    std::vector<resumable_copy> next_copies_;
    /// The head that the caller gets. Set with the first event or the end of the stream.
    std::optional<http::response_head> head_;
    bool head_sent_{false};
    std::string pending_output_;
    std::optional<http::response> answer_;
    /// The version that began the stream. Empty until the first event.
    std::optional<std::string> software_version_;
    std::uint64_t event_count_{0};
    /// Id of the first event that was passed on. Zero before, and if it has none.
    std::uint64_t first_event_id_{0};
    /// The run whose end is that of the stream. Null unless the stream is complete.
    stream_run_pointer ended_by_;
    base::time_point last_event_at_{};
    base::milliseconds longest_gap_{};
    std::uint32_t takeovers_{0};
    /// The stream is being handed over to another target.
    bool moving_{false};
    /// Set once the request is known to crash targets.
    std::optional<poison::refusal> refusal_;
    bool caller_left_{false};
};

} // namespace cyclamenledge::forwarding_entry
