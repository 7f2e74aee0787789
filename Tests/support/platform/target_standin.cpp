#include "support/platform/target_standin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <tuple>
#include <utility>

namespace cyclamenledge::platform::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

// From the beginning of a run to the second copy of its earlier refusal, and from there to its answer.
constexpr base::milliseconds second_refusal_delay{50};
constexpr std::uint32_t engine_memory = 30000;
constexpr std::uint32_t prompt_tokens_per_millisecond = 14;
constexpr std::uint32_t copied_tokens_per_millisecond = 18;
constexpr std::uint32_t tokens_per_event = 4;
constexpr base::milliseconds event_interval{25};
constexpr base::milliseconds longest_call{25};
// Time that a call takes whose path says so.
constexpr base::milliseconds slow_call{1000};
constexpr base::milliseconds stalled_byte_interval{200};
constexpr base::milliseconds event_pause{2000};
constexpr base::milliseconds stop_check_interval{5};
// Share of the copies of running generations that find no room.
constexpr double copies_refused = 0.05;
constexpr std::size_t endless_part_bytes = 64UL * 1024;
// Time from the start of a run until it crashes the target.
constexpr base::milliseconds crash_delay{30};

std::string header(http::request const& received, std::string_view name) {
    return std::string{http::header_value(received, name)};
}

std::uint64_t number(std::string_view text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

/// The number at the end of the path: events of a stream, or bytes of an answer.
std::uint64_t size_of(http::request const& received) {
    std::string_view const target{received.target().data(), received.target().size()};
    return number(target.substr(target.rfind('/') + 1));
}

http::response stamped(http::response answer, std::string const& request) {
    answer.set("X-Request-Id", request);
    answer.set("X-Response-Stamp", "stamp." + request);
    return answer;
}

http::response not_run(unsigned status, std::string const& request) {
    auto answer = stamped(http::make_response(status, "text/plain", ""), request);
    answer.set("X-Not-Executed", "1");
    return answer;
}

} // namespace

target_standin::target_standin(asio::io_context& context, place where, target_directory& directory,
                               target_observer& observer, std::uint64_t seed)
    : context_(context)
    , where_(std::move(where))
    , directory_(directory)
    , observer_(observer)
    , random_(seed) {
    directory_[where_.address] = this;
}

base::result<void> target_standin::start(std::int64_t unix_milliseconds) {
    ++incarnation_;
    started_at_ = unix_milliseconds;
    id_ = where_.address + "-" + std::to_string(incarnation_);
    leaves_at_.reset();
    says_leaving_ = false;
    turns_away_until_ = {};
    BOOST_OUTCOME_TRYV(resume_accepting());
    up_ = true;
    return base::success();
}

base::result<void> target_standin::resume_accepting() {
    servers_.push_back(std::make_unique<http::server>(context_, http::server_limits{}, *this));
    return servers_.back()->listen(where_.listen_address);
}

void target_standin::crash() {
    if (up_)
        end_incarnation({});
}

void target_standin::end_incarnation(std::string const& request) {
    up_ = false;
    observer_.on_end(*this);
    ++incarnation_;
    runs_.clear();
    copies_.clear();
    repeated_.clear();
    servers_.back()->stop_accepting();
    if (on_crash_)
        on_crash_(request);
}

asio::awaitable<bool> target_standin::crash_on(http::session_pointer client, http::request received) {
    std::string_view const target{received.target().data(), received.target().size()};
    if (target.find(crashing_path) == std::string_view::npos &&
        header(received, "X-Prefix-Hash").find(crashing_part) == std::string::npos)
        co_return false;
    auto const request = header(received, "X-Request-Id");
    auto const incarnation = incarnation_;
    co_await pause(crash_delay);
    if (incarnation == incarnation_) {
        observer_.on_request_crash(request, *this);
        end_incarnation(request);
    }
    client->close();
    co_return true;
}

void target_standin::leave(base::milliseconds notice) {
    leaves_at_ = base::clock::now() + notice;
}

std::string target_standin::announcement() const {
    return json::serialize(json::object{{"service", where_.service},
                                        {"address", where_.address},
                                        {"zone", where_.failure_domain},
                                        {"slots", where_.slots},
                                        {"version", where_.version},
                                        {"state", leaves_at_ ? "draining" : "ready"},
                                        {"coldLeftMs", 0},
                                        {"born", started_at_}});
}

http::response target_standin::report() const {
    json::array runs;
    std::uint32_t used = 0;
    std::size_t reading = 0;
    for (auto const& [request, item] : runs_) {
        used += item.tokens;
        if (item.events > 0)
            runs.push_back(json::array{request, item.tokens, item.events, 5});
        else
            ++reading;
    }
    json::object content{{"active", runs.size() + reading},
                         {"queued", 0},
                         {"kvUsed", used},
                         {"kvTotal", engine_memory},
                         {"state", leaves_at_ ? "draining" : "ready"},
                         {"born", started_at_},
                         {"runs", std::move(runs)}};
    if (leaves_at_)
        content["leaves_ms"] = std::max<std::int64_t>(
            0, std::chrono::duration_cast<base::milliseconds>(*leaves_at_ - base::clock::now()).count());
    return http::make_response(200, "application/json", json::serialize(content));
}

asio::awaitable<void> target_standin::pause(base::milliseconds length) {
    asio::steady_timer timer{context_, length};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> target_standin::handle(http::session_pointer client, http::request received) {
    std::string const target{received.target().data(), received.target().size()};
    auto const request = header(received, "X-Request-Id");
    if (!up_) {
        client->close();
        co_return;
    }
    co_await repeat_answer(client);
    if (target == "/-/report") {
        std::ignore = co_await client->send(report());
        co_return;
    }
    if (target == "/-/kv-move") {
        co_await move(std::move(client), std::move(received));
        co_return;
    }
    if (auto const expected = header(received, "X-Expect-Instance"); !expected.empty() && expected != id_) {
        observer_.on_mismatch(request, *this);
        auto answer = not_run(421, request);
        add_leaving(answer, {});
        std::ignore = co_await client->send(std::move(answer));
        co_return;
    }
    auto const deadline = header(received, "X-Deadline-Ms");
    observer_.on_arrival(request, *this,
                         deadline.empty() ? std::nullopt : std::optional{base::milliseconds{number(deadline)}});
    if (co_await refuse_for_a_time(client, request) || co_await refuse_beyond_limit(client, request))
        co_return;
    if (where_.engine)
        co_await run_generation(std::move(client), std::move(received));
    else
        co_await run_call(std::move(client), std::move(received));
}

void target_standin::add_named_limit(http::beast_http::response_header<>& head, bool refusal) const {
    if (named_limit_ && (refusal || !named_limit_->in_refusals_only))
        head.set("Server-Limit", std::to_string(named_limit_->per_second));
}

void target_standin::add_leaving(http::beast_http::response_header<>& head, std::string const& request) const {
    if (!says_leaving_)
        return;
    head.set("Server-Leaving", "1");
    if (!request.empty())
        observer_.on_leaving_said(request, *this);
}

asio::awaitable<bool> target_standin::refuse_for_a_time(http::session_pointer client, std::string request) {
    auto const now = base::clock::now();
    if (now >= turns_away_until_)
        co_return false;
    auto answer = turns_away_.states_not_run ? not_run(503, request)
                                             : stamped(http::make_response(503, "text/plain", "busy"), request);
    answer.set("Retry-After", std::to_string(base::to_seconds(turns_away_until_ - now)));
    add_leaving(answer, request);
    observer_.on_turned_away(request, *this, turns_away_until_);
    std::ignore = co_await client->send(std::move(answer));
    co_return true;
}

asio::awaitable<bool> target_standin::refuse_beyond_limit(http::session_pointer client, std::string request) {
    if (!named_limit_ || !named_limit_->in_refusals_only)
        co_return false;
    auto const now = base::clock::now();
    while (!accepted_.empty() && now - accepted_.front() >= base::seconds{1})
        accepted_.pop_front();
    if (static_cast<double>(accepted_.size()) < named_limit_->per_second) {
        accepted_.push_back(now);
        co_return false;
    }
    auto answer = not_run(503, request);
    add_named_limit(answer, true);
    add_leaving(answer, request);
    std::ignore = co_await client->send(std::move(answer));
    co_return true;
}

base::milliseconds target_standin::work_time(std::string_view path) {
    auto time = base::milliseconds{1 + random_.below(static_cast<std::uint64_t>(longest_call.count()))};
    if (path.find(slow_path) != std::string_view::npos)
        time += slow_call;
    if (slow_calls_.share > 0 && happens(slow_calls_.share)) {
        auto const range = static_cast<std::uint64_t>((slow_calls_.longest - slow_calls_.shortest).count());
        time = slow_calls_.shortest + base::milliseconds{random_.below(range + 1)};
    }
    return time;
}

asio::awaitable<void> target_standin::run_call(http::session_pointer client, http::request received) {
    auto const request = header(received, "X-Request-Id");
    auto const incarnation = incarnation_;
    if (happens(faults_.refused_twice)) {
        auto const [refused, first] = refused_.try_emplace(request, client);
        auto const carrier = refused->second;
        if (!first) {
            observer_.on_run(request, *this, false);
            co_await pause(second_refusal_delay);
        }
        std::ignore = co_await carrier->send(not_run(503, request));
        if (first)
            co_return;
        co_await pause(second_refusal_delay);
        observer_.on_run_complete(request);
        std::ignore =
            co_await client->send(stamped(http::make_response(200, "text/plain", request + " done"), request));
        co_return;
    }
    observer_.on_run(request, *this, false);
    if (co_await crash_on(client, received))
        co_return;
    std::string_view const target{received.target().data(), received.target().size()};
    co_await pause(work_time(target));
    if (incarnation != incarnation_ || happens(faults_.lost)) {
        observer_.on_break_off(request);
        client->close();
        co_return;
    }
    if (happens(faults_.unproven)) {
        auto answer = stamped(http::make_response(503, "text/plain", "busy"), request);
        add_leaving(answer, request);
        std::ignore = co_await client->send(std::move(answer));
        co_return;
    }
    if (!faults_.endless.empty()) {
        auto head = stamped(http::make_response(200, "text/plain", ""), request).base();
        co_await send_without_end(client, std::move(head));
        co_return;
    }
    bool const failed = happens(faults_.failed);
    std::string body = request + " at " + where_.service + "\n";
    body.append(size_of(received), 'x');
    auto answer = stamped(http::make_response(failed ? 500 : 200, "text/plain", std::move(body)), request);
    add_named_limit(answer, false);
    add_leaving(answer, request);
    if (!failed && happens(faults_.cut)) {
        auto const half = answer.body().substr(0, answer.body().size() / 2);
        if (co_await client->start_stream(std::move(answer.base())))
            std::ignore = co_await client->send_chunk(half);
        observer_.on_break_off(request);
        client->close();
        co_return;
    }
    if (!failed)
        observer_.on_run_complete(request);
    if (!co_await client->send(std::move(answer)))
        co_return;
    if (happens(faults_.extra))
        std::ignore = co_await client->send(stamped(http::make_response(200, "text/plain", "late"), "another"));
}

asio::awaitable<void> target_standin::send_without_end(http::session_pointer client,
                                                       http::beast_http::response_header<> head) {
    auto const incarnation = incarnation_;
    std::string part;
    while (part.size() < endless_part_bytes)
        part += faults_.endless;
    bool sound = static_cast<bool>(co_await client->start_stream(std::move(head)));
    while (sound && incarnation == incarnation_)
        sound = static_cast<bool>(co_await client->send_chunk(part));
    client->close();
}

std::optional<target_standin::copy> target_standin::take_copy(std::string const& source, std::string const& request) {
    auto const separator = source.find('/');
    auto const name = source.substr(separator + 1);
    auto const found = copies_.find(name);
    if (found == copies_.end())
        return std::nullopt;
    if (found->second.request != request) {
        observer_.on_other_memory(request, found->second.request);
        return std::nullopt;
    }
    auto taken = found->second;
    copies_.erase(found);
    // A handle can be used once, here or where the memory came from.
    if (auto const origin = directory_.find(source.substr(0, separator)); origin != directory_.end())
        origin->second->copies_.erase(name);
    return taken;
}

void target_standin::end_work(std::string const& request, std::uint64_t incarnation) {
    if (incarnation != incarnation_)
        return;
    runs_.erase(request);
    observer_.on_work_end(request, *this);
}

asio::awaitable<void> target_standin::run_generation(http::session_pointer client, http::request received) {
    auto const request = header(received, "X-Request-Id");
    auto const source = header(received, "Kv-From");
    bool const continued = !source.empty();
    auto const prompt = static_cast<std::uint32_t>(number(header(received, "X-Token-Count")));
    if (happens(faults_.reset)) {
        observer_.on_run(request, *this, continued && take_copy(source, request).has_value());
        observer_.on_break_off(request);
        observer_.on_work_end(request, *this);
        client->close();
        co_return;
    }
    bool const copy_refused = continued && happens(faults_.copy_refused);
    auto const used = continued && !copy_refused ? take_copy(source, request) : std::nullopt;
    if ((continued && !used) || runs_.contains(request)) {
        auto refusal = not_run(503, request);
        add_named_limit(refusal, true);
        add_leaving(refusal, request);
        std::ignore = co_await client->send(std::move(refusal));
        co_return;
    }
    auto const incarnation = incarnation_;
    auto const version = where_.version;
    auto const total = size_of(received);
    auto const position = header(received, "Last-Event-Id");
    bool const after_copy = used && position.empty() && faults_.begins_after_copy;
    auto const first = 1 + (after_copy ? used->events : number(position));
    // Beside a first event that the caller has, a resumed stream is a run of its own at a route that allows it.
    observer_.on_run(request, *this, continued);
    runs_[request] = {prompt, first - 1};
    if (auto const backup = directory_.find(header(received, "X-Kv-Backup")); backup != directory_.end())
        backup->second->copies_[request] = {request, 0};
    if (co_await crash_on(client, received))
        co_return;
    // The session may call this after the end of the coroutine.
    auto const open = std::make_shared<bool>(true);
    client->watch_for_close([open] { *open = false; });
    auto const until_first_event = continued ? event_interval + faults_.resumption_delay
                                             : base::milliseconds{prompt / prompt_tokens_per_millisecond};
    co_await pause(until_first_event);
    http::beast_http::response_header<> head;
    head.result(200);
    head.set("Content-Type", "text/event-stream");
    head.set("X-Request-Id", request);
    head.set("X-Response-Stamp", "stamp." + request);
    add_named_limit(head, false);
    add_leaving(head, request);
    if (!faults_.endless.empty()) {
        co_await send_without_end(client, std::move(head));
        end_work(request, incarnation);
        co_return;
    }
    auto const framing =
        happens(faults_.unframed) ? http::answer_framing::connection_end : http::answer_framing::chunks;
    bool sound = incarnation == incarnation_ && *open &&
                 static_cast<bool>(co_await client->start_stream(std::move(head), framing));
    if (faults_.continuation && first > 1) {
        std::string const body{*faults_.continuation};
        if (sound && !body.empty())
            std::ignore = co_await client->send_chunk(body);
        end_work(request, incarnation);
        std::ignore = co_await client->finish_stream();
        co_return;
    }
    bool const broken_off = first == 1 && happens(faults_.broken_off);
    bool const stalled = happens(faults_.stalled);
    bool const paused = happens(faults_.paused);
    bool const works_on = happens(faults_.works_on);
    if (stalled)
        observer_.on_break_off(request);
    auto const stopped = [&] { return incarnation != incarnation_ || runs_[request].stopped; };
    auto const delivered_at = base::clock::now() + faults_.delivery_delay;
    std::string undelivered;
    for (auto event = first; event <= total && ((sound && *open) || works_on); ++event) {
        while (stalled && event > first && !stopped() && ((sound && *open) || works_on)) {
            sound = static_cast<bool>(co_await client->send_chunk(":"));
            co_await pause(stalled_byte_interval);
        }
        if (paused && event == first + 1)
            co_await pause(event_pause);
        if (stopped())
            break;
        auto const text = "id: " + std::to_string(event) + "\ndata: " + request + ":" + std::to_string(event) + "\n" +
                          std::string{version_mark} + version + "\n\n";
        undelivered += text;
        if (sound && *open && base::clock::now() >= delivered_at) {
            sound = static_cast<bool>(co_await client->send_chunk(undelivered));
            undelivered.clear();
        }
        if (incarnation == incarnation_) {
            runs_[request].tokens += tokens_per_event;
            ++runs_[request].events;
        }
        co_await pause(event_interval);
        if (stopped())
            break;
        if (broken_off && event == 2) {
            sound = false;
            observer_.on_break_off(request);
            // A sound target does not end an unframed answer that it breaks off.
            if (framing == http::answer_framing::connection_end)
                client->reset();
            else
                client->close();
        }
    }
    bool const complete = sound && *open && !stopped();
    end_work(request, incarnation);
    if (!undelivered.empty()) {
        co_await pause(std::chrono::duration_cast<base::milliseconds>(delivered_at - base::clock::now()));
        std::ignore = co_await client->send_chunk(undelivered);
    }
    if (!complete) {
        client->close();
        co_return;
    }
    observer_.on_run_complete(request);
    std::ignore = co_await client->finish_stream();
}

asio::awaitable<void> target_standin::answer_move(http::session_pointer client, http::response answer) {
    if (faults_.copy_answers_repeated)
        repeated_[client] = answer;
    std::ignore = co_await client->send(std::move(answer));
}

asio::awaitable<void> target_standin::repeat_answer(http::session_pointer client) {
    auto repeated = repeated_.extract(client);
    if (!repeated.empty())
        std::ignore = co_await client->send(std::move(repeated.mapped()));
}

asio::awaitable<void> target_standin::move(http::session_pointer client, http::request received) {
    boost::system::error_code code;
    auto const content = json::parse(received.body(), code);
    auto const* object = content.if_object();
    if (code || object == nullptr || !object->contains("id") || !object->contains("to")) {
        auto refusal = http::make_response(400, "text/plain", "");
        add_leaving(refusal, {});
        co_await answer_move(std::move(client), std::move(refusal));
        co_return;
    }
    std::string const request{object->at("id").as_string()};
    std::string const to{object->at("to").as_string()};
    auto const incarnation = incarnation_;
    auto const moved = runs_.find(request);
    auto const destination = directory_.find(to);
    if (moved == runs_.end() || moved->second.events == 0) {
        auto refusal = http::make_response(404, "text/plain", "");
        add_leaving(refusal, {});
        co_await answer_move(std::move(client), std::move(refusal));
        co_return;
    }
    auto const* last = object->if_contains("last");
    bool const stops = last != nullptr && last->is_bool() && last->as_bool();
    // The run ends by itself, with its next event.
    moved->second.stopped = stops;
    copy const made{request, moved->second.events};
    auto const now = base::clock::now();
    link_free_ = std::max(link_free_, now) + base::milliseconds{moved->second.tokens / copied_tokens_per_millisecond};
    co_await pause(std::chrono::duration_cast<base::milliseconds>(link_free_ - now));
    while (stops && incarnation == incarnation_ && runs_.contains(request))
        co_await pause(stop_check_interval);
    if (stops)
        co_await pause(faults_.stop_answer_delay);
    if (incarnation != incarnation_ || (stops && faults_.stop_answer_lost)) {
        client->close();
        co_return;
    }
    auto const refused_share = [&] { return stops ? destination->second->faults_.last_copy_refused : copies_refused; };
    bool const refused =
        destination == directory_.end() || !destination->second->up_ || destination->second->happens(refused_share());
    auto const name = "copy-" + std::to_string(random_.next());
    if (!refused)
        destination->second->copies_[name] = made;
    if (stops)
        copies_[name] = made;
    // GCC 12 cannot keep an initializer list over the suspension.
    json::object content_of_answer;
    if (!refused || stops)
        content_of_answer["handle"] = name;
    content_of_answer["createRev"] = made.events;
    auto answer = http::make_response(refused ? 503 : 200, "application/json", json::serialize(content_of_answer));
    add_leaving(answer, {});
    co_await answer_move(std::move(client), std::move(answer));
}

} // namespace cyclamenledge::platform::standin
