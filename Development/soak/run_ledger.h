#pragma once

#include "base/time.h"
#include "soak/notice_ledger.h"
#include "support/platform/target_standin.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace cyclamenledge::soak {

/// What a caller received.
enum class call_end : std::uint8_t {
    served,
    /// Refused with the promise that the request has not run and never will.
    refused,
    failed,
    /// The connection ended without a whole answer.
    broken,
    /// The caller ended it.
    left,
};

/// What a caller and its route allow a call.
struct call_bounds {
    base::milliseconds deadline{0};
    base::milliseconds route_timeout{0};
    std::uint32_t maximum_attempts{1};
};

/// How a call went to an entry.
struct sending {
    std::size_t entry{0};
    bool plain{true};
    /// Over a connection that had carried calls before.
    bool kept{false};
    call_bounds bounds{};
    base::time_point at{base::clock::now()};
    /// The entry had been told to stop or had ended.
    bool stopping{false};
    /// The entry was in touch, and so were the targets if it was calm.
    bool in_touch{false};
    bool calm{false};
};

/// How far a fault reaches.
enum class fault_reach : std::uint8_t {
    /// Targets and their agents, so that entries remain in touch.
    targets,
    entries,
};

/// The work of a target on a call.
struct work_record {
    std::string target;
    base::time_point began{};
    bool continued{false};
    /// The entry was in touch when it began.
    bool judged{false};
    bool ended{false};
};

struct call_record {
    bool may_run_again{false};
    /// Requests of this attempt that have reached targets.
    std::uint32_t arrivals{0};
    /// Names what the call has in common with others that crash targets. Empty for others.
    std::string crashing_content;
    bool taken_up{false};
    /// The target has begun to write the answer of a stream.
    bool answer_began{false};
    std::uint32_t runs{0};
    /// Runs that went on from the memory of an earlier one.
    std::uint32_t resumptions{0};
    bool run_complete{false};
    call_end end{call_end::broken};
    bool ended{false};
    /// Empty until the call was sent to an entry.
    std::optional<sending> sent;
    /// Zero without an answer.
    unsigned status{0};
    base::time_point first_arrival{};
    /// When the time ends that was handed on with the first arrival.
    base::time_point first_deadline{};
    base::time_point completed_at{};
    /// In the order in which the work began.
    std::vector<work_record> work;
    /// For which a target worked on it beside the one at which it went on.
    base::milliseconds longest_overlap{0};
    /// Targets that ran it and have not ended since.
    std::set<std::string> run_at;
    std::string last_target;
    /// The last target that it reached ended, or ended the connection.
    bool target_broke_off{false};
    /// Ran at more targets than its route allows.
    bool beyond_attempts{false};
};

/// A plain call that an entry cut off without an answer.
struct cut_call {
    std::string request;
    /// A target has received it.
    bool passed_on{false};
    std::size_t entry{0};
    bool kept{false};
    base::milliseconds lasted{0};
    /// From the SIGTERM of the entry. Empty for an entry that was not told to stop.
    std::optional<base::milliseconds> sent_after_stop;
};

/// What calls that crash targets have in common.
enum class content_kind : std::uint8_t { request, prompt_part };

struct crashing_content {
    std::string name;
    content_kind kind{content_kind::request};
};

/// Collects what callers and targets see and holds it against the promises.
class run_ledger : public platform::standin::target_observer {
public:
    void begin_call(std::string const& request, bool may_run_again, std::string const& service);
    /// The call crashes every target that runs it. Such calls are not counted.
    void mark_crashing(std::string const& request, crashing_content const& content,
                       base::time_point at = base::clock::now());
    void begin_answer(std::string const& request) { calls_[request].answer_began = true; }
    /// The call takes a stream up again, while two targets of its software version serve.
    void mark_taken_up(std::string const& request) { calls_[request].taken_up = true; }
    /// A stream holds events of so many software versions, over all tries of its caller.
    void record_versions(std::size_t count);
    /// Compares the streams that callers take up again with those that begin.
    void check_taken_up_streams();
    /// Compares the sound streams that begin beside calls which crash targets with those that begin at other times.
    void check_sound_streams();
    void send_call(std::string const& request, sending const& sent) {
        auto& kept = calls_[request].sent.emplace(sent);
        kept.in_touch = !sent.stopping && in_touch(sent.entry, sent.at);
        kept.calm = kept.in_touch && calm_since(sent.at - contact_time);
    }
    void answer_call(std::string const& request, unsigned status) { calls_[request].status = status; }
    void end_call(std::string const& request, call_end end, base::time_point at = base::clock::now());
    /// The entry receives its first SIGTERM.
    void begin_stop(std::size_t entry, base::time_point at = base::clock::now()) {
        entries_[entry].stops.push_back(at);
        start_entry(entry, at);
    }
    /// The entry was started, killed or told again to stop.
    void start_entry(std::size_t entry, base::time_point at = base::clock::now()) {
        entries_[entry].in_touch_after = at + contact_time;
    }
    /// The entry receives SIGHUP.
    void reload_entry(std::size_t entry, base::time_point at = base::clock::now()) {
        entries_[entry].reloads.push_back(at);
    }
    void on_arrival(std::string const& request, platform::standin::target_standin const& target,
                    std::optional<base::milliseconds> time_left) override;
    void on_mismatch(std::string const& request, platform::standin::target_standin const& target) override;
    void on_run(std::string const& request, platform::standin::target_standin const& target, bool continued) override;
    void on_run_complete(std::string const& request) override;
    void on_work_end(std::string const& request, platform::standin::target_standin const& target) override;
    void on_break_off(std::string const& request) override;
    void on_end(platform::standin::target_standin const& target) override;
    void on_request_crash(std::string const& request, platform::standin::target_standin const& target) override;
    void record_crash(std::string const& content, base::time_point at) { crashing_[content].crashes.push_back(at); }

    void on_other_memory(std::string const& request, std::string const& owner) override;
    void on_leaving_said(std::string const& request, platform::standin::target_standin const& target) override;
    void on_turned_away(std::string const& request, platform::standin::target_standin const& target,
                        base::time_point until) override;
    /// What entries know of the notices that targets give in their answers.
    notice_ledger& notices() { return notices_; }

    /// A fault that nobody planned is at work.
    void begin_disturbance(fault_reach reach = fault_reach::entries) { ++disturbances_[reach].open; }
    /// Its effects last until then.
    void end_disturbance(base::time_point until, fault_reach reach = fault_reach::entries) {
        auto& disturbed = disturbances_[reach];
        --disturbed.open;
        disturbed.until = std::max(disturbed.until, until);
    }
    /// No fault of that reach or a longer one has been at work since.
    bool calm_since(base::time_point since, fault_reach reach = fault_reach::targets) const {
        return std::ranges::all_of(disturbances_, [&](auto const& item) {
            return item.first < reach || (item.second.open == 0 && item.second.until < since);
        });
    }
    /// The metadata store tells that the target leaves or its failure domain is evacuated; nothing new may come after.
    void close_target(std::string const& target_id, base::time_point from) { closed_[target_id] = from; }
    void open_target(std::string const& target_id) { closed_.erase(target_id); }

    /// The target names a limit on requests a second, or no longer names one.
    void name_limit(std::string const& target_id, std::optional<double> per_second,
                    base::time_point from = base::clock::now());
    /// Requests that have reached the target since it named its limit.
    std::size_t arrivals_at_limited(std::string const& target_id) const;
    /// Arrivals at the service beyond the first of each request, since the start.
    std::size_t retries(std::string const& service) const;
    /// Largest share of the bound on retries that any service used in a window.
    double largest_retry_use() const { return largest_retry_use_; }
    std::vector<cut_call> const& cut_calls() const { return cut_calls_; }
    /// Calls by the status of their answer.
    std::map<unsigned, std::size_t> statuses() const;

    void violation(std::string text);
    std::vector<std::string> const& violations() const { return violations_; }
    std::uint32_t count(call_end end) const;
    std::size_t calls() const { return calls_.size(); }
    call_record const* find(std::string const& request) const;

private:
    struct crash_history {
        content_kind kind{content_kind::request};
        std::vector<base::time_point> crashes;
        /// Runs that the entries had to prevent.
        std::uint32_t late_runs{0};
        /// When callers sent such calls first and last.
        base::time_point first_sent{};
        base::time_point last_sent{};
    };
    struct stream_share {
        std::uint32_t sent{0};
        std::uint32_t began{0};

        double value() const { return sent == 0 ? 0 : static_cast<double>(began) / sent; }
    };

    struct limited_target {
        double per_second{0};
        base::time_point named_at{};
        std::size_t arrivals{0};
        /// Arrivals within the window.
        std::deque<base::time_point> recent;
    };

    /// Calls of a service and what targets got of them beyond the first arrival of each.
    struct service_traffic {
        std::deque<base::time_point> calls;
        std::deque<base::time_point> recent_retries;
        std::size_t retries{0};
    };

    struct disturbance {
        std::uint32_t open{0};
        base::time_point until{};
    };

    struct entry_record {
        std::vector<base::time_point> stops;
        std::vector<base::time_point> reloads;
        base::time_point in_touch_after{};
    };

    /// Time in which an undisturbed entry is in touch.
    static constexpr base::milliseconds contact_time{4000};

    /// The entry's process ran, and nothing has disturbed it, for the contact time before that moment.
    bool in_touch(std::size_t entry, base::time_point at) const;
    /// The last SIGTERM that the entry got no later than that.
    std::optional<base::time_point> stop_before(std::size_t entry, base::time_point at) const;
    bool around_planned_work(call_record const& call, base::time_point ended) const;
    void check_loss(std::string const& request, call_record const& call, base::time_point ended);
    void check_time_left(std::string const& request, call_record& call, std::optional<base::milliseconds> time_left,
                         base::time_point now);
    void count_arrival(std::string const& request, call_record& call, platform::standin::target_standin const& target,
                       base::time_point now);
    void check_attempts(std::string const& request, call_record& call, base::time_point now);
    void record_cut(std::string const& request, call_record const& call, base::time_point at);
    void check_crashing_run(call_record const& call, base::time_point now);
    void end_work(std::string const& request, call_record& call, std::string const& target_id);
    /// Whether the entries had the time to tell a crashing part from others, while calls with it still come.
    bool beside_crashing_part(base::time_point at) const;
    void check_notices(std::string const& request, std::string const& target_id, base::time_point now);
    void check_limit(std::string const& request, std::string const& target_id, base::time_point now);
    void check_retry_bound(std::string const& request, std::string const& service, base::time_point now);

    std::map<std::string, call_record> calls_;
    std::map<std::string, crash_history> crashing_;
    std::map<std::string, base::time_point> closed_;
    std::map<std::string, limited_target> limited_;
    std::map<std::string, service_traffic> traffic_;
    std::map<std::size_t, entry_record> entries_;
    std::vector<cut_call> cut_calls_;
    double largest_retry_use_{0};
    std::map<fault_reach, disturbance> disturbances_;
    /// Calls that were passed on to sound targets over kept connections and closed without an answer.
    std::uint32_t closed_unanswered_{0};
    std::uint32_t beyond_attempts_{0};
    std::uint32_t handed_too_much_time_{0};
    std::uint32_t judged_time_left_{0};
    std::uint32_t mixed_streams_{0};
    notice_ledger notices_;
    std::vector<std::string> violations_;
};

} // namespace cyclamenledge::soak
