#pragma once

#include "base/byte_budget.h"
#include "forwarding/event_splitter.h"
#include "forwarding/run_handover.h"
#include "forwarding/stream_relay.h"
#include "forwarding_entry/send_result.h"
#include "http/upstream_connection.h"
#include "platform/request_headers.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

namespace cyclamenledge::forwarding_entry {

/// A target that crashes on a prompt does so within this time from its first event, and mostly before.
inline constexpr base::milliseconds crash_time{250};

/// A target that works on a request for longer than this beside the next one runs it a second time.
inline constexpr base::milliseconds longest_run_overlap{400};

/// One run of a streamed request at one target.
struct stream_run : public boost::intrusive_ref_counter<stream_run> {
    forwarding::run_number number{forwarding::no_run};
    std::string target;
    /// Start of the target's incarnation, see target_record.
    std::int64_t target_started_at{0};
    std::string address;
    /// See target_record.
    std::string software_version;
    platform::forwarded_context context;
    /// Target to which the memory of the run is replicated. Empty without a backup and after the backup was used.
    std::string backup_target;
    /// Resumptions that were sent to take over from the run.
    std::uint32_t resumptions{0};
    /// Null before the connection is established and after the run has ended.
    http::upstream_pointer connection;
    /// Goes on at the target that was stopped, which takes nothing else if it leaves.
    bool at_stopped_source{false};
    /// When this process began to move the run off its leaving target.
    std::optional<base::time_point> leaving_since;
    /// Target to which the memory is moved, and its IP:PORT. Empty unless the run's target leaves.
    std::string copy_target;
    std::string copy_destination;
    /// The last copy that was made while the run went on, and the target that holds it.
    std::string copy_holder;
    std::optional<platform::memory_copy> copy;
    /// Connections to the run's target and to the next one, which are opened while the memory is copied. Both are null
    /// unless both are open.
    http::upstream_pointer stop_connection;
    http::upstream_pointer next_connection;
    bool opening{false};
    /// The target was asked to stop the run, so the end of its connection is no sign of a crash.
    bool stop_asked{false};
    /// The answer to that call is awaited. What follows from the run's end is decided with it.
    bool stopping{false};
    /// The answer has come, or none will.
    bool stop_answered{false};
    /// Of all such calls whose answers have come or failed.
    forwarding::stop_effect stop_effect{forwarding::stop_effect::none};
    /// The target was asked to stop the run, and may still work on it.
    bool may_work_on{false};
    /// How the run ended while it was stopped.
    std::optional<send_result> end_while_stopping;
    /// Opened before the run was placed. Otherwise the run opens its own.
    http::upstream_pointer prepared_connection;
    /// Runs while the run does. Cancelled at its end.
    std::optional<boost::asio::steady_timer> stall_timer;
    forwarding::event_splitter splitter;
    /// Covers the events that have not ended, or the body of another answer.
    base::byte_lease answer_memory;
    bool sent{false};
    base::time_point sent_at{};
    bool received_event{false};
    /// Pace that the target stated in its answer. Zero if it stated none.
    double stated_pace{0};
    /// Events that arrived from the target.
    std::uint64_t events{0};
    base::time_point first_event_at{};
    /// Ids of the first and the last event that arrived and has one. Zero before.
    std::uint64_t first_event_id{0};
    std::uint64_t last_event_id{0};
    /// Of the answer, as the caller would get it. Empty before it has arrived, and for a refusal.
    std::optional<http::response_head> head;
    /// Of the answer. Unknown before its head.
    http::answer_framing framing{http::answer_framing::unknown};
    /// The success of the prompt's parts was reported.
    bool prompt_reported{false};
    /// When the request was sent or the last whole event arrived. Parts of an event are no progress.
    base::time_point progress_at{};
    /// Whether this process cancelled the run.
    bool cancelled{false};
    bool ended{false};

    /// How long the run and the other one have gone on beside each other.
    base::milliseconds overlap_with(stream_run const& other, base::time_point now) const {
        if (!sent || !other.sent)
            return base::milliseconds{0};
        return std::chrono::duration_cast<base::milliseconds>(now - std::max(sent_at, other.sent_at));
    }
    /// Whether the target has written the answer for longer than a prompt needs to crash it.
    bool shows_sound_prompt(base::time_point now) const { return events > 0 && now - first_event_at >= crash_time; }
    void cancel() {
        cancelled = true;
        if (connection)
            connection->close();
    }
};

using stream_run_pointer = boost::intrusive_ptr<stream_run>;

} // namespace cyclamenledge::forwarding_entry
