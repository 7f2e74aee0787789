#pragma once

#include "base/random.h"
#include "base/time.h"
#include "http/server.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::platform::standin {

class target_standin;

/// Hears what targets do with requests.
class target_observer {
public:
    target_observer() = default;
    target_observer(target_observer const&) = delete;
    target_observer& operator=(target_observer const&) = delete;
    virtual ~target_observer() = default;

    /// A request reached the target, which may still refuse it. Its caller waits for the time that is handed on.
    virtual void on_arrival(std::string const& /*request*/, target_standin const& /*target*/,
                            std::optional<base::milliseconds> /*time_left*/) {}
    /// A request for another target reached this one, which refused it.
    virtual void on_mismatch(std::string const& /*request*/, target_standin const& /*target*/) {}
    /// A request was accepted. A continued one goes on from the memory of an earlier run.
    virtual void on_run(std::string const& request, target_standin const& target, bool continued) = 0;
    /// The target has made its whole answer.
    virtual void on_run_complete(std::string const& request) = 0;
    /// The target has stopped working on a generation.
    virtual void on_work_end(std::string const& /*request*/, target_standin const& /*target*/) {}
    /// The target ends the connection before its answer is complete.
    virtual void on_break_off(std::string const& /*request*/) {}
    /// The target ended with everything that was at work there.
    virtual void on_end(target_standin const& /*target*/) {}
    /// The target crashed because it ran the request.
    virtual void on_request_crash(std::string const& /*request*/, target_standin const& /*target*/) {}
    /// The request was to go on from the memory of another request. The target refused it.
    virtual void on_other_memory(std::string const& /*request*/, std::string const& /*owner*/) {}
    /// The target said in its answer to the request that it leaves.
    virtual void on_leaving_said(std::string const& /*request*/, target_standin const& /*target*/) {}
    /// The target refused the request, and wants nothing from the entry that sent it until then.
    virtual void on_turned_away(std::string const& /*request*/, target_standin const& /*target*/,
                                base::time_point /*until*/) {}
};

/// Shares of requests that go wrong at a target.
struct target_faults {
    /// Runs, but its answer is never sent.
    double lost{0};
    double failed{0};
    /// The answer ends early.
    double cut{0};
    /// Another answer follows that nobody asked for.
    double extra{0};
    /// The connection is reset as soon as a generation has begun, without a look at the copy from which it resumes.
    double reset{0};
    /// Runs, and answers with a status of a refusal, but does not state that the request has not run.
    double unproven{0};
    /// Sends a few bytes of its second event, one at a time, and no event more.
    double stalled{0};
    /// Refuses a generation that resumes from a copy.
    double copy_refused{0};
    /// Pauses for two seconds before its second event and then goes on.
    double paused{0};
    /// Repeated without end as the body of each answer, unless empty. The text must outlive the fault.
    std::string_view endless{};
    /// Ends the connection after two events of a generation that begins.
    double broken_off{0};
    /// The whole body of a success in answer to a generation that is taken up at an event. The text must outlive the
    /// fault.
    std::optional<std::string_view> continuation{};
    /// Refuses a request at first. When it comes again, writes the refusal once more, on the connection that carried
    /// it, while the request runs.
    double refused_twice{0};
    /// Works on after its caller has closed the connection of a generation.
    double works_on{0};
    /// From the acceptance of a generation that goes on from a copy to its first event, beside the usual time.
    base::milliseconds resumption_delay{0};
    /// Refuses the last copy of a stopped run's memory from another target.
    double last_copy_refused{0};
    /// Answers a call that stops a run only after this time.
    base::milliseconds stop_answer_delay{0};
    /// Ends the connection instead of answering a call that stops a run, which is stopped.
    bool stop_answer_lost{false};
    /// Answers a generation with neither a length nor chunks, so that its end is that of the connection.
    double unframed{0};
    /// The path back is slow: what a generation has made is delivered only after this time, all at once.
    base::milliseconds delivery_delay{0};
    /// Writes each answer to a call that copies memory once more, before the answer to the next message on the
    /// connection.
    bool copy_answers_repeated{false};
    /// Answers a generation that goes on from a copy, in a request without a position, after the copy's events.
    bool begins_after_copy{false};
};

/// Plain calls that take longer than the others.
struct slow_calls {
    double share{0};
    base::milliseconds shortest{0};
    base::milliseconds longest{0};
};

/// A limit that a target names in its answers, on requests a second from all callers together.
struct named_limit {
    double per_second{0};
    /// Whether only refusals name it. The target refuses what is beyond the limit.
    bool in_refusals_only{false};
};

/// A target that turns every request away for a time, and says in its refusals how long that lasts.
struct turn_away_time {
    base::milliseconds length{};
    /// Whether the refusals state that the request has not run.
    bool states_not_run{true};
};

/// Targets by the address at which others call them.
using target_directory = std::map<std::string, target_standin*>;

/// Part of the path of a request that crashes every target that runs it.
inline constexpr std::string_view crashing_path = "/crash/";
/// Before the software version in each event of a stream.
inline constexpr std::string_view version_mark = "data: written by ";
/// Begins the id of a part of a prompt that crashes every engine which begins to write an answer on it.
inline std::string const crashing_part{"dead"};
/// Part of the path of a call that takes a second.
inline constexpr std::string_view slow_path = "/slow/";

/// An engine or a plain service for tests. A plain answer and each event name their request, so that callers can tell
/// whose they are.
class target_standin : public http::request_handler {
public:
    struct place {
        std::string service;
        std::string failure_domain;
        /// Where others call it, through a proxy.
        std::string address;
        std::string listen_address;
        bool engine{false};
        std::uint32_t slots{24};
        /// Of its software, announced and written into each event of a stream.
        std::string version{"v1"};
    };

    target_standin(boost::asio::io_context& context, place where, target_directory& directory,
                   target_observer& observer, std::uint64_t seed);

    /// Starts as a new incarnation with a new id.
    base::result<void> start(std::int64_t unix_milliseconds);
    /// Every run and copy is lost.
    void crash();
    /// The handler is called after each crash, with the request that caused it or an empty text.
    using crash_handler = std::function<void(std::string const& request)>;
    void set_crash_handler(crash_handler handler) { on_crash_ = std::move(handler); }
    void leave(base::milliseconds notice);
    /// Takes no new connections and ends those that carry no request.
    void stop_accepting() { servers_.back()->stop_accepting(); }
    /// Takes connections again, in the same incarnation.
    base::result<void> resume_accepting();
    /// Runs other software from its next start on.
    void set_version(std::string version) { where_.version = std::move(version); }
    bool up() const { return up_; }
    bool leaving() const { return leaves_at_.has_value(); }
    bool running(std::string const& request) const { return runs_.contains(request); }
    std::string const& id() const { return id_; }
    place const& where() const { return where_; }
    /// The announcement in the metadata store.
    std::string announcement() const;
    void set_faults(target_faults const& faults) { faults_ = faults; }
    void set_slow_calls(slow_calls const& slow) { slow_calls_ = slow; }
    void name_limit(std::optional<named_limit> const& limit) { named_limit_ = limit; }
    bool limited() const { return named_limit_.has_value(); }
    /// Says in each answer that it leaves, whatever it announces in the metadata store.
    void say_leaving(bool said) { says_leaving_ = said; }
    bool says_leaving() const { return says_leaving_; }
    void turn_away(turn_away_time const& time) {
        turns_away_ = time;
        turns_away_until_ = base::clock::now() + time.length;
    }

    boost::asio::awaitable<void> handle(http::session_pointer client, http::request received) override;

private:
    struct copy {
        std::string request;
        /// Events that the run had made.
        std::uint64_t events{0};
    };
    struct run {
        std::uint32_t tokens{0};
        std::uint64_t events{0};
        /// Its memory is moved for the last time, so it makes no event more.
        bool stopped{false};
    };

    boost::asio::awaitable<void> pause(base::milliseconds length);
    base::milliseconds work_time(std::string_view path);
    /// Answers a request that goes beyond a limit which only refusals name. Returns whether it did.
    boost::asio::awaitable<bool> refuse_beyond_limit(http::session_pointer client, std::string request);
    void add_named_limit(http::beast_http::response_header<>& head, bool refusal) const;
    void add_leaving(http::beast_http::response_header<>& head, std::string const& request) const;
    /// Answers a request in a time in which the target takes none. Returns whether it did.
    boost::asio::awaitable<bool> refuse_for_a_time(http::session_pointer client, std::string request);
    /// Crashes the target if the request is one that crashes every target that runs it. Returns whether it did.
    boost::asio::awaitable<bool> crash_on(http::session_pointer client, http::request received);
    void end_incarnation(std::string const& request);
    boost::asio::awaitable<void> run_call(http::session_pointer client, http::request received);
    boost::asio::awaitable<void> run_generation(http::session_pointer client, http::request received);
    /// Sends the endless body until the caller closes.
    boost::asio::awaitable<void> send_without_end(http::session_pointer client,
                                                  http::beast_http::response_header<> head);
    boost::asio::awaitable<void> move(http::session_pointer client, http::request received);
    /// Answers a call that copies memory.
    boost::asio::awaitable<void> answer_move(http::session_pointer client, http::response answer);
    /// Writes what answered the last call on the connection once more, if the fault asks for it.
    boost::asio::awaitable<void> repeat_answer(http::session_pointer client);
    http::response report() const;
    /// Ends the work on a generation whose connection was or is closed.
    void end_work(std::string const& request, std::uint64_t incarnation);
    /// The memory that the request names, if it is here. The copy is used up.
    std::optional<copy> take_copy(std::string const& source, std::string const& request);
    bool happens(double share) { return random_.unit() < share; }

    boost::asio::io_context& context_;
    place where_;
    target_directory& directory_;
    target_observer& observer_;
    base::random_source random_;
    // Sessions of an ended incarnation still refer to their server.
    std::vector<std::unique_ptr<http::server>> servers_;
    bool up_{false};
    std::uint64_t incarnation_{0};
    std::string id_;
    std::int64_t started_at_{0};
    std::optional<base::time_point> leaves_at_;
    base::time_point link_free_{};
    target_faults faults_;
    slow_calls slow_calls_;
    std::optional<named_limit> named_limit_;
    bool says_leaving_{false};
    turn_away_time turns_away_;
    base::time_point turns_away_until_{};
    /// When requests were accepted in the last second.
    std::deque<base::time_point> accepted_;
    crash_handler on_crash_;
    std::map<std::string, run> runs_;
    /// Connections that carried the refusals for refused_twice, by request.
    std::map<std::string, http::session_pointer> refused_;
    /// Answers that are written once more, by connection.
    std::map<http::session_pointer, http::response> repeated_;
    /// Copies that others have sent here and memory of stopped runs, by name.
    std::map<std::string, copy> copies_;
};

} // namespace cyclamenledge::platform::standin
