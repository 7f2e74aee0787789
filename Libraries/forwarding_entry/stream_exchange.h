#pragma once

#include "forwarding/stream_relay.h"
#include "forwarding_entry/entry_parts.h"
#include "forwarding_entry/request_context.h"
#include "forwarding_entry/send_result.h"
#include "forwarding_entry/stream_registry.h"
#include "forwarding_entry/stream_run.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::forwarding_entry {

/// Serves one request whose answer is a stream of events. Runs feed the exchange; when the engine of a run leaves, its
/// memory is copied and another run goes on from there.
class stream_exchange : public boost::intrusive_ref_counter<stream_exchange>, public stream_hook {
public:
    stream_exchange(entry_parts& parts, request_context request);

    boost::asio::awaitable<void> run();
    /// Targets have changed: the run may have to move.
    void on_fleet_change();

private:
    using self_pointer = boost::intrusive_ptr<stream_exchange>;

    enum class phase : std::uint8_t {
        /// No run exists: one has to be started.
        wanting_run,
        running,
        complete,
        /// The answer of a target, or of this process, takes the place of the stream.
        answered,
        failed,
    };

    /// Memory of the request at a target that can go on from there.
    struct held_copy {
        std::string target;
        platform::memory_copy memory;
    };

    // Runs.
    boost::asio::awaitable<void> start_first_run();
    stream_run_pointer make_run(forwarding::run_number number, std::string const& target);
    void launch(stream_run_pointer const& started);
    boost::asio::awaitable<void> drive(stream_run_pointer driven);
    boost::asio::awaitable<send_result> send_and_read(stream_run_pointer driven);
    boost::asio::awaitable<send_result> read_events(stream_run_pointer driven, http::response_head head);
    bool pass_events(stream_run& driven);
    base::milliseconds silence_limit(stream_run const& driven) const;
    void on_end(stream_run& ended, send_result result);
    void recover(stream_run& ended, send_result result);
    bool resume_from_backup(stream_run& ended);
    std::optional<held_copy> take_backup(stream_run& run);
    stream_run_pointer make_resuming_run(forwarding::run_number number, held_copy const& copy);
    void on_takeover(stream_run const& successor, forwarding::stream_event const& event);
    void choose_backup(stream_run& started);
    void cancel_others(forwarding::run_number kept);

    // Moving.
    boost::asio::awaitable<void> move_away(self_pointer self);
    /// Regions are only crossed when the copy can be complete before the engine stops.
    forwarding::copy_span widest_copy(stream_run const& source) const;
    boost::asio::awaitable<bool> try_move(stream_run_pointer source, std::vector<std::string>& refused);
    boost::asio::awaitable<bool> go_on_from_copy(held_copy copy);
    boost::asio::awaitable<void> pause(base::milliseconds length);

    // The caller.
    boost::asio::awaitable<void> write_to_caller();
    boost::asio::awaitable<void> finish();
    void on_caller_left();
    void wake() { changed_.cancel(); }
    void fail(base::error failure, std::string_view reason);

    stream_run_pointer find_run(forwarding::run_number number) const;
    /// The room of a target as this process knows it, for the log.
    std::string describe_room(std::string const& target) const;
    std::uint32_t tokens_held() const;
    base::milliseconds expected_remaining() const;

    entry_parts& parts_;
    request_context request_;
    forwarding::engine_capacity const* engine_;
    forwarding::stream_relay relay_;
    boost::asio::steady_timer changed_;
    boost::asio::steady_timer successor_changed_;
    phase phase_{phase::wanting_run};
    std::vector<stream_run_pointer> runs_;
    std::vector<std::string> used_;
    std::uint32_t targets_run_{0};
    std::uint32_t unsent_{0};
    std::optional<http::response_head> head_;
    bool head_sent_{false};
    std::string outbox_;
    std::optional<http::response> answer_;
    std::uint64_t events_{0};
    base::time_point last_passed_{};
    base::milliseconds longest_gap_{};
    std::uint32_t switches_{0};
    bool moving_{false};
    bool caller_left_{false};
};

} // namespace cyclamenledge::forwarding_entry
