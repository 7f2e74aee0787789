#include "soak/caller.h"

#include "forwarding/event_splitter.h"
#include "network/endpoint.h"
#include "platform/request_headers.h"
#include "soak/stream_check.h"
#include "support/platform/caller_messages.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <utility>
#include <vector>

namespace cyclamenledge::soak {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t plain_deadline = 2500;
constexpr std::uint32_t stream_deadline = 15000;
// A caller that has waited longer than its deadline gives up.
constexpr base::milliseconds patience{1500};
constexpr base::milliseconds connect_timeout{1000};
constexpr std::size_t most_bytes = 1024UL * 1024;
constexpr base::milliseconds longest_pause{60};
constexpr std::uint64_t calls_per_crashing_call = 60;
constexpr std::uint64_t calls_per_crashing_part = 25;
constexpr std::uint64_t orders_per_slow_order = 10;
constexpr std::uint64_t streams_per_broken_one = 6;
constexpr std::size_t tries_to_take_up = 2;
// Parts of prompts that sound calls share with each other; the first ones also with those that crash targets.
constexpr std::uint64_t first_parts = 2;
constexpr std::uint64_t middle_parts = 12;
// A connection that has been idle for longer is not used again.
constexpr base::milliseconds longest_idle{3200};
// An entry in its planned stop and everything around it were undisturbed for this long.
constexpr base::milliseconds calm_before{4500};

bool may_run_again(platform::standin::published_route const& route) {
    return route.resumable || route.kind == "idempotent";
}

bool is_plain(platform::standin::published_route const& route) {
    return route.service == plain_service;
}

call_bounds bounds_of(platform::standin::published_route const& route) {
    return {base::milliseconds{is_plain(route) ? plain_deadline : stream_deadline},
            base::milliseconds{route.timeout_milliseconds}, route.maximum_attempts};
}

/// The software version that has written the event.
std::string version_of(std::string_view event) {
    auto const at = event.find(platform::standin::version_mark);
    if (at == std::string_view::npos)
        return {};
    auto const begin = at + platform::standin::version_mark.size();
    return std::string{event.substr(begin, event.find('\n', begin) - begin)};
}

/// Whether the status states that the request has not run and never will.
bool refused(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

caller::caller(asio::io_context& context, fleet& world, run_ledger& ledger, std::uint64_t number, std::uint64_t seed)
    : context_(context)
    , world_(world)
    , ledger_(ledger)
    , number_(number)
    , random_(seed) {}

std::string caller::next_id() {
    return std::to_string(number_) + "-" + std::to_string(next_id_++);
}

asio::awaitable<void> caller::run(bool const& stop, crashing_traffic const& crashing) {
    asio::steady_timer timer{context_};
    while (!stop) {
        if (crashing.sent && random_.below(calls_per_crashing_call) == 0)
            co_await call_crashing();
        if (crashing.sent && random_.below(calls_per_crashing_part) == 0)
            co_await call_crashing_part(crashing.outbreak);
        auto const choice = random_.below(10);
        auto const kind = choice < 2   ? route::generation
                          : choice < 4 ? route::resumable
                          : choice < 7 ? route::order
                                       : route::read;
        co_await call(kind, random_.below(world_.entries().size()));
        if (random_.below(4) == 0)
            co_await check_configuration(random_.below(world_.entries().size()));
        timer.expires_after(base::milliseconds{random_.below(static_cast<std::uint64_t>(longest_pause.count()))});
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::size_t caller::choose_entry() {
    for (auto& [entry, connection] : kept_) {
        if (connection && connection->quiet() && base::clock::now() - used_at_[entry] < longest_idle)
            return entry;
    }
    kept_.clear();
    // New connections go to entries that take calls.
    std::vector<std::size_t> open;
    for (auto const& site : world_.entries()) {
        if (!site->process.ended_on_purpose)
            open.push_back(site->number);
    }
    return open.empty() ? random_.below(world_.entries().size()) : open.at(random_.below(open.size()));
}

asio::awaitable<void> caller::run_load(load const& wanted, bool const& stop) {
    asio::steady_timer timer{context_};
    std::exponential_distribution<double> pause{1.0 / static_cast<double>(wanted.mean_pause.count())};
    while (!stop) {
        timer.expires_after(base::milliseconds{static_cast<std::int64_t>(pause(random_.engine()))});
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (stop)
            co_return;
        auto const kind = random_.unit() < wanted.read_share ? route::read : route::order;
        co_await call(kind, choose_entry());
    }
}

asio::awaitable<void> caller::call(route kind, std::size_t chosen_entry) {
    auto const& definition = fixed_routes()[static_cast<std::size_t>(kind)];
    exchange made;
    made.entry = chosen_entry;
    made.request = next_id();
    made.plain = is_plain(definition);
    made.bounds = bounds_of(definition);
    made.size = made.plain ? random_.below(3000) : 1 + random_.below(120);
    made.path = definition.prefix;
    if (kind == route::order && random_.below(orders_per_slow_order) == 0)
        made.path += platform::standin::slow_path.substr(1);
    made.path += std::to_string(made.size);
    if (!made.plain)
        made.prompt_parts = make_prompt("5a" + std::to_string(random_.below(middle_parts)), made.request);
    ledger_.begin_call(made.request, may_run_again(definition), definition.service);
    auto const began = base::clock::now();
    auto const& process = world_.entries()[made.entry]->process;
    ledger_.notices().assign_entry(made.request, process.name, began);
    auto const request = made.request;
    auto const entry = made.entry;
    auto const life = process.life;
    stream_progress progress;
    made.progress = &progress;
    if (kind == route::resumable && random_.below(streams_per_broken_one) == 0)
        made.breaks_after = 1 + random_.below(made.size);
    auto broken = made;
    auto const end = co_await perform(std::move(made));
    ledger_.end_call(request, end);
    bool const broke_here = end == call_end::left && progress.last_event == broken.breaks_after;
    if (kind == route::resumable && progress.last_event > 0 && (end == call_end::broken || broke_here))
        co_await take_up(std::move(broken), progress);
    ledger_.record_versions(progress.versions.size());
    if (end != call_end::broken)
        ledger_.notices().on_answer(request, base::clock::now());
    // Calls that a planned stop meets are served or refused, not lost.
    bool const one_life = process.life == life && ledger_.calm_since(began - calm_before);
    if (is_plain(definition) && end == call_end::broken && one_life && ledger_.find(request)->run_complete)
        ledger_.violation("lost at entry " + std::to_string(entry) + (process.stopping ? " in a planned stop" : "") +
                          ": " + request);
}

asio::awaitable<void> caller::take_up(exchange broken, stream_progress& progress) {
    broken.resumed_request = broken.request;
    broken.breaks_after = 0;
    for (std::size_t number = 0; number < tries_to_take_up; ++number) {
        auto made = broken;
        made.request = next_id();
        made.entry = random_.below(world_.entries().size());
        made.last_event = progress.last_event;
        ledger_.begin_call(made.request, true, engine_service);
        auto const serving = std::ranges::count_if(world_.targets(), [&](auto const& site) {
            return site->target->up() && !site->target->leaving() && site->target->where().engine &&
                   progress.versions.contains(site->target->where().version);
        });
        if (serving >= 2)
            ledger_.mark_taken_up(made.request);
        auto const request = made.request;
        auto const end = co_await perform(std::move(made));
        ledger_.end_call(request, end);
        if (end == call_end::served || end == call_end::left)
            co_return;
    }
}

asio::awaitable<void> caller::call_crashing() {
    // Both contents come again and again, from any caller and through any entry.
    auto const& definition =
        fixed_routes()[static_cast<std::size_t>(random_.below(2) == 0 ? route::generation : route::order)];
    exchange made;
    made.entry = random_.below(world_.entries().size());
    made.request = next_id();
    made.plain = is_plain(definition);
    made.bounds = bounds_of(definition);
    made.size = 1;
    made.path = definition.prefix + std::string{"crash/1"};
    made.body = "crashes targets";
    auto const request = made.request;
    ledger_.begin_call(request, may_run_again(definition), definition.service);
    ledger_.mark_crashing(request, {made.path, content_kind::request});
    ledger_.end_call(request, co_await perform(std::move(made)));
}

std::string caller::make_prompt(std::string const& middle, std::string const& request) {
    return "f00" + std::to_string(random_.below(first_parts)) + ":100," + middle + ":200,0" + request + ":100";
}

asio::awaitable<void> caller::call_crashing_part(std::uint64_t outbreak) {
    auto const& definition =
        fixed_routes()[static_cast<std::size_t>(random_.below(2) == 0 ? route::generation : route::resumable)];
    exchange made;
    made.entry = random_.below(world_.entries().size());
    made.request = next_id();
    made.plain = false;
    made.bounds = bounds_of(definition);
    made.size = 1 + random_.below(120);
    made.path = definition.prefix + std::to_string(made.size);
    auto const part = platform::standin::crashing_part + std::to_string(outbreak);
    made.prompt_parts = make_prompt(part, made.request);
    auto const request = made.request;
    ledger_.begin_call(request, may_run_again(definition), definition.service);
    ledger_.mark_crashing(request, {part, content_kind::prompt_part});
    ledger_.end_call(request, co_await perform(std::move(made)));
}

http::awaitable_result<http::upstream_pointer> caller::connect(exchange& made) {
    if (auto const kept = std::exchange(kept_[made.entry], nullptr); kept && kept->quiet()) {
        made.kept = true;
        co_return kept;
    }
    BOOST_OUTCOME_CO_TRY(auto const endpoint, network::parse_endpoint(world_.entries()[made.entry]->caller_address));
    http::upstream_pointer opened{new http::upstream_connection{context_.get_executor(), endpoint}};
    BOOST_OUTCOME_CO_TRYV(co_await opened->connect(connect_timeout));
    co_return opened;
}

asio::awaitable<call_end> caller::perform(exchange made) {
    auto const connection = co_await connect(made);
    if (!connection)
        co_return call_end::broken;
    platform::standin::caller_call content{made.request,
                                           caller_host,
                                           made.path,
                                           caller_key,
                                           made.plain ? plain_deadline : stream_deadline,
                                           made.plain ? 0U : 400U + static_cast<std::uint32_t>(random_.below(3000)),
                                           made.plain ? 0U : 600U,
                                           made.body,
                                           made.prompt_parts,
                                           made.last_event,
                                           made.resumed_request};
    auto const message = platform::standin::encode_call(content);
    auto const& process = world_.entries()[made.entry]->process;
    sending sent_to{made.entry, made.plain, made.kept, made.bounds};
    sent_to.stopping = process.stopping || process.ended_on_purpose;
    ledger_.send_call(made.request, sent_to);
    if (auto const sent = co_await connection.value()->send(message, connect_timeout); !sent) {
        connection.value()->close();
        co_return call_end::broken;
    }
    auto end = call_end::broken;
    if (made.plain)
        end = co_await read_plain(connection.value(), made);
    else
        end = co_await read_stream(connection.value(), made);
    used_at_[made.entry] = base::clock::now();
    if (end != call_end::broken && end != call_end::left && connection.value()->reusable())
        kept_[made.entry] = connection.value();
    else
        connection.value()->close();
    co_return end;
}

asio::awaitable<call_end> caller::read_plain(http::upstream_pointer connection, exchange made) {
    auto const wait = base::milliseconds{plain_deadline} + patience;
    auto const head = co_await connection->read_head(wait);
    if (!head)
        co_return call_end::broken;
    auto const body = co_await connection->read_whole_body(most_bytes, wait);
    if (!body)
        co_return call_end::broken;
    auto const status = head.value().result_int();
    ledger_.answer_call(made.request, status);
    auto const facts = platform::decode_answer(head.value());
    if (!facts.request_id.empty() && facts.request_id != made.request)
        ledger_.violation("the answer of " + facts.request_id + " went to " + made.request);
    if (refused(status))
        co_return call_end::refused;
    if (status != 200)
        co_return call_end::failed;
    auto const expected = made.request + " at orders\n" + std::string(made.size, 'x');
    if (body.value() != expected)
        ledger_.violation("a success with another body: " + made.request);
    co_return call_end::served;
}

asio::awaitable<call_end> caller::read_stream(http::upstream_pointer connection, exchange made) {
    auto const wait = base::milliseconds{stream_deadline} + patience;
    auto const head = co_await connection->read_head(wait);
    if (!head)
        co_return call_end::broken;
    auto const status = head.value().result_int();
    ledger_.answer_call(made.request, status);
    if (status == 200)
        ledger_.begin_answer(made.request);
    if (status != 200) {
        if (!co_await connection->read_whole_body(most_bytes, wait))
            co_return call_end::broken;
        co_return refused(status) ? call_end::refused : call_end::failed;
    }
    forwarding::event_splitter splitter;
    stream_check check{made.request, made.size, made.last_event};
    auto const report = [this](std::string const& broken) {
        if (!broken.empty())
            ledger_.violation(broken);
    };
    // Some callers leave in the middle.
    auto const leaves_after = random_.below(20) == 0 ? made.size / 2 + 1 : made.size + 1;
    while (true) {
        auto const part = co_await connection->read_body(wait);
        if (!part)
            co_return call_end::broken;
        if (part.value().empty())
            break;
        splitter.append(part.value());
        while (auto const event = splitter.next()) {
            report(check.on_event(*event));
            if (made.progress != nullptr) {
                made.progress->last_event = check.expected() - 1;
                made.progress->versions.insert(version_of(event->bytes));
            }
            if (check.expected() == made.breaks_after + 1)
                co_return call_end::left;
        }
        if (check.expected() > leaves_after)
            co_return call_end::left;
    }
    report(check.on_end());
    co_return call_end::served;
}

asio::awaitable<unsigned> caller::probe(std::size_t entry, std::string path) {
    exchange made;
    made.entry = entry;
    made.request = next_id();
    ledger_.begin_call(made.request, true, plain_service);
    unsigned status = 0;
    if (auto const connection = co_await connect(made); connection) {
        platform::standin::caller_call content{made.request, caller_host, path, caller_key, plain_deadline, 0, 0, {}};
        auto const message = platform::standin::encode_call(content);
        auto const wait = base::milliseconds{plain_deadline} + patience;
        if (co_await connection.value()->send(message, connect_timeout)) {
            auto const head = co_await connection.value()->read_head(wait);
            if (head && co_await connection.value()->read_whole_body(most_bytes, wait)) {
                status = head.value().result_int();
                if (connection.value()->reusable())
                    kept_[entry] = connection.value();
            }
        }
    }
    ledger_.end_call(made.request, status == 200     ? call_end::served
                                   : refused(status) ? call_end::refused
                                                     : call_end::failed);
    co_return status;
}

asio::awaitable<void> caller::check_configuration(std::size_t entry) {
    auto const& process = world_.entries()[entry]->process;
    auto const life = process.life;
    if (shown_[entry].life != life)
        shown_[entry] = {life, 0};
    auto const newest = world_.version();
    auto const known = shown_[entry].version;
    // A newer version may be in force already; an older one never again.
    auto const asked = random_.below(2) == 0 && known > 0 ? known : newest;
    auto const status = co_await probe(entry, "/v" + std::to_string(asked) + "/1");
    if (process.life != life)
        co_return;
    if (status == 200)
        shown_[entry].version = std::max(shown_[entry].version, asked);
    if (status == 404 && asked <= known)
        ledger_.violation("entry " + std::to_string(entry) + " went back from version " + std::to_string(known));
}

} // namespace cyclamenledge::soak
