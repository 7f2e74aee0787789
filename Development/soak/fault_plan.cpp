#include "soak/fault_plan.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <array>
#include <csignal>
#include <ostream>
#include <tuple>
#include <utility>

namespace cyclamenledge::soak {

namespace asio = boost::asio;
using platform::standin::store_mode;

namespace {

// Between two actions, so that several of them overlap.
constexpr std::uint64_t shortest_gap = 100;
constexpr std::uint64_t longest_gap = 700;
// The planned stop of an entry must not last longer.
constexpr base::milliseconds stop_limit{9000};
constexpr std::uint64_t most_stops_in_series = 3;
// From one stop of a series to the next, in milliseconds, so that stops overlap.
constexpr std::uint64_t shortest_stop_gap = 300;
constexpr std::uint64_t longest_stop_gap = 3500;
// Looks at a stopping process for each signal or publication during its stop.
constexpr std::uint64_t ticks_per_interruption = 40;
constexpr base::milliseconds settle_check{50};
// Effects of a fault that was taken back, such as requests under way.
constexpr base::milliseconds after_effect{1000};
// Limits that targets name, in requests a second.
constexpr double lowest_limit = 1;
constexpr double limit_range = 9;
constexpr std::uint64_t shortest_notice = 1500;
constexpr std::uint64_t longest_notice = 2100;

} // namespace

fault_plan::fault_plan(asio::io_context& context, fleet& world, run_ledger& ledger, std::uint64_t seed,
                       std::ostream& log)
    : context_(context)
    , world_(world)
    , ledger_(ledger)
    , random_(seed)
    , log_(log)
    , began_(base::clock::now()) {}

std::span<fault_plan::action const> fault_plan::actions() {
    static constexpr std::array<action, 18> table{{
        {"kill_entry", fault_reach::entries, &fault_plan::kill_entry},
        {"pause_entry", fault_reach::entries, &fault_plan::pause_entry},
        {"kill_agent", fault_reach::targets, &fault_plan::kill_agent},
        {"pause_agent", fault_reach::targets, &fault_plan::pause_agent},
        {"crash_target", fault_reach::targets, &fault_plan::crash_target},
        {"harm_target", fault_reach::targets, &fault_plan::harm_target},
        {"fill_engine", fault_reach::targets, &fault_plan::fill_engine},
        {"harm_store", fault_reach::entries, &fault_plan::harm_store},
        {"forget_history", fault_reach::entries, &fault_plan::forget_history},
        {"restore_store", fault_reach::entries, &fault_plan::restore_store},
        {"harm_link", fault_reach::entries, &fault_plan::harm_link},
        {"stop_entry", {}, &fault_plan::stop_entry},
        {"leave_engine", {}, &fault_plan::leave_engine},
        {"publish", {}, &fault_plan::publish},
        {"evacuate", {}, &fault_plan::evacuate},
        {"name_limit", {}, &fault_plan::name_limit},
        {"say_leaving", {}, &fault_plan::say_leaving},
        {"turn_away", {}, &fault_plan::turn_away},
    }};
    return table;
}

asio::awaitable<void> fault_plan::pause(std::uint64_t least, std::uint64_t most) {
    asio::steady_timer timer{context_, base::milliseconds{least + random_.below(most - least + 1)}};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> fault_plan::run(base::milliseconds length, bool with_faults) {
    auto const end = base::clock::now() + length;
    auto const table = actions();
    while (base::clock::now() < end) {
        auto const& chosen = table[random_.below(table.size())];
        if (!chosen.reach || with_faults)
            asio::co_spawn(context_, perform(chosen), asio::detached);
        co_await pause(shortest_gap, longest_gap);
    }
}

void fault_plan::log(std::string const& text) {
    auto const since = std::chrono::duration_cast<base::milliseconds>(base::clock::now() - began_);
    log_ << since.count() << " ms " << text << std::endl;
}

asio::awaitable<void> fault_plan::perform(action const& chosen) {
    ++open_;
    log(chosen.name);
    if (chosen.reach)
        ledger_.begin_disturbance(*chosen.reach);
    co_await (this->*chosen.act)();
    --open_;
    if (chosen.reach)
        ledger_.end_disturbance(base::clock::now() + after_effect, *chosen.reach);
}

asio::awaitable<void> fault_plan::settle() {
    asio::steady_timer timer{context_};
    while (open_ > 0) {
        timer.expires_after(settle_check);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    world_.repair();
}

entry_site& fault_plan::any_entry() {
    return *world_.entries()[random_.below(world_.entries().size())];
}

target_site& fault_plan::any_target() {
    return *world_.targets()[random_.below(world_.targets().size())];
}

target_site& fault_plan::any_engine() {
    auto& targets = world_.targets();
    auto const engines = std::ranges::count_if(targets, [](auto const& site) { return site->target->where().engine; });
    return *targets[random_.below(static_cast<std::uint64_t>(engines))];
}

asio::awaitable<void> fault_plan::kill_entry() {
    auto& process = any_entry().process;
    if (process.ended_on_purpose || process.paused)
        co_return;
    process.ended_on_purpose = true;
    process.process->kill();
    co_await pause(100, 1500);
    world_.start_daemon(process);
}

asio::awaitable<void> fault_plan::stop_entry() {
    auto const first = random_.below(world_.entries().size());
    auto const stops = 1 + random_.below(most_stops_in_series);
    for (std::uint64_t number = 0; number < stops; ++number) {
        begin_stop(*world_.entries()[(first + number) % world_.entries().size()], true);
        if (number + 1 < stops)
            co_await pause(shortest_stop_gap, longest_stop_gap);
    }
}

asio::awaitable<void> fault_plan::stop_in_series(base::milliseconds interval, bool interrupted,
                                                 base::time_point until) {
    asio::steady_timer timer{context_};
    for (std::size_t number = 0; base::clock::now() < until; ++number) {
        begin_stop(*world_.entries()[number % world_.entries().size()], interrupted);
        timer.expires_after(interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void fault_plan::begin_stop(entry_site& entry, bool interrupted) {
    ++open_;
    asio::co_spawn(context_, stop_planned(entry, interrupted), [this](std::exception_ptr const&) { --open_; });
}

asio::awaitable<void> fault_plan::stop_planned(entry_site& entry, bool interrupted) {
    auto& process = entry.process;
    auto const life = process.life;
    if (interrupted && random_.below(3) == 0 && !process.ended_on_purpose && !process.paused) {
        ledger_.reload_entry(entry.number);
        process.process->send_signal(SIGHUP);
        co_await pause(20, 1500);
    }
    auto const stopping =
        std::ranges::count_if(world_.entries(), [](auto const& other) { return other->process.ended_on_purpose; });
    // One entry remains.
    bool const last = static_cast<std::size_t>(stopping) + 1 >= world_.entries().size();
    if (process.ended_on_purpose || process.paused || process.life != life || last)
        co_return;
    process.ended_on_purpose = true;
    process.stopping = true;
    log(process.name + " SIGTERM");
    ledger_.begin_stop(entry.number);
    process.process->send_signal(SIGTERM);
    auto const until = base::clock::now() + stop_limit;
    while (process.process->running() && base::clock::now() < until) {
        co_await pause(50, 50);
        if (interrupted && random_.below(ticks_per_interruption) == 0)
            interrupt_stop(entry);
    }
    if (process.process->running())
        ledger_.violation(process.name + " did not end its planned stop");
    log(process.name + " ended its stop");
    co_await pause(50, 400);
    world_.start_daemon(process);
    ledger_.start_entry(entry.number);
}

void fault_plan::interrupt_stop(entry_site& entry) {
    struct interruption {
        char const* name;
        void (*act)(fault_plan&, entry_site&);
    };
    static constexpr std::array<interruption, 3> table{{
        {"second SIGTERM",
         [](fault_plan& plan, entry_site& stopped) {
             plan.ledger_.start_entry(stopped.number);
             stopped.process.process->send_signal(SIGTERM);
         }},
        {"SIGHUP",
         [](fault_plan& plan, entry_site& stopped) {
             plan.ledger_.reload_entry(stopped.number);
             stopped.process.process->send_signal(SIGHUP);
         }},
        {"publication", [](fault_plan& plan, entry_site&) { plan.world_.publish_configuration(); }},
    }};
    auto const& chosen = table.at(random_.below(table.size()));
    log(entry.process.name + " " + chosen.name);
    chosen.act(*this, entry);
}

asio::awaitable<void> fault_plan::pause_entry() {
    auto& process = any_entry().process;
    if (process.ended_on_purpose || process.paused)
        co_return;
    process.paused = true;
    process.process->send_signal(SIGSTOP);
    co_await pause(100, 3000);
    ledger_.notices().forget_entry(process.name);
    process.process->send_signal(SIGCONT);
    process.paused = false;
}

asio::awaitable<void> fault_plan::kill_agent() {
    auto& agent = any_engine().agent;
    if (agent.ended_on_purpose || agent.paused)
        co_return;
    agent.ended_on_purpose = true;
    agent.process->kill();
    co_await pause(100, 2500);
    world_.start_daemon(agent);
}

asio::awaitable<void> fault_plan::pause_agent() {
    auto& agent = any_engine().agent;
    if (agent.ended_on_purpose || agent.paused)
        co_return;
    agent.paused = true;
    agent.process->send_signal(SIGSTOP);
    co_await pause(100, 3000);
    agent.process->send_signal(SIGCONT);
    agent.paused = false;
}

asio::awaitable<void> fault_plan::crash_target() {
    auto& site = any_target();
    if (!site.target->up() || site.target->leaving())
        co_return;
    site.target->crash();
    co_await pause(500, 2000);
    world_.withdraw(site);
    co_await pause(100, 1000);
    world_.restart(site);
}

asio::awaitable<void> fault_plan::leave_engine() {
    auto& site = any_engine();
    if (!site.target->up() || site.target->leaving())
        co_return;
    auto const notice = base::milliseconds{shortest_notice + random_.below(longest_notice - shortest_notice)};
    site.target->leave(notice);
    auto const id = site.target->id();
    co_await pause(30, 180);
    world_.announce(site);
    ledger_.close_target(id, base::clock::now());
    co_await pause(static_cast<std::uint64_t>(notice.count()), static_cast<std::uint64_t>(notice.count()));
    site.target->crash();
    world_.withdraw(site);
    co_await pause(500, 2500);
    world_.restart(site);
}

asio::awaitable<void> fault_plan::harm_target() {
    auto& site = any_target();
    static constexpr std::array<platform::standin::target_faults, 7> kinds{{{.lost = 0.3},
                                                                            {.failed = 0.4},
                                                                            {.cut = 0.3},
                                                                            {.extra = 0.3},
                                                                            {.reset = 0.4},
                                                                            {.unproven = 0.3},
                                                                            {.stalled = 0.3}}};
    auto harmed = kinds.at(random_.below(kinds.size()));
    harmed.last_copy_refused = site.usual.last_copy_refused;
    harmed.works_on = site.usual.works_on;
    harmed.resumption_delay = site.usual.resumption_delay;
    harmed.unframed = site.usual.unframed;
    harmed.delivery_delay = site.usual.delivery_delay;
    harmed.begins_after_copy = site.usual.begins_after_copy;
    harmed.copy_answers_repeated = site.usual.copy_answers_repeated;
    site.target->set_faults(harmed);
    co_await pause(500, 3000);
    site.target->set_faults(site.usual);
}

asio::awaitable<void> fault_plan::fill_engine() {
    auto& site = any_target();
    if (!site.target->where().engine || !site.target->up() || std::exchange(site.full, true))
        co_return;
    auto full = site.usual;
    full.paused = 1;
    full.works_on = 1;
    site.target->set_faults(full);
    co_await pause(300, 800);
    auto const incarnation = site.target->id();
    if (site.target->up()) {
        site.proxy->stop_listening();
        site.target->stop_accepting();
        co_await pause(2000, 4000);
    }
    bool const same = site.target->up() && site.target->id() == incarnation;
    if (same && (!site.target->resume_accepting() || !site.proxy->resume_listening()))
        ledger_.violation("the address of " + incarnation + " cannot be opened again");
    site.full = false;
    site.target->set_faults(site.usual);
}

asio::awaitable<void> fault_plan::harm_store() {
    static constexpr std::array<store_mode, 3> modes{store_mode::refusing, store_mode::silent, store_mode::closing};
    world_.store().set_mode(modes.at(random_.below(modes.size())));
    co_await pause(300, 4000);
    world_.store().set_mode(store_mode::serving);
}

asio::awaitable<void> fault_plan::forget_history() {
    world_.store().forget_history();
    co_return;
}

asio::awaitable<void> fault_plan::restore_store() {
    auto& store = world_.store();
    store.keep_copy();
    co_await pause(500, 4000);
    store.set_mode(store_mode::closing);
    co_await pause(50, 500);
    store.restore_copy();
    store.set_mode(store_mode::serving);
    co_await pause(100, 1500);
    world_.write_again();
}

asio::awaitable<void> fault_plan::harm_link() {
    static constexpr std::array<proxy_mode, 5> modes{proxy_mode::delay, proxy_mode::cut_requests,
                                                     proxy_mode::cut_answers, proxy_mode::silence, proxy_mode::close};
    fault_proxy* proxy = nullptr;
    switch (random_.below(4)) {
    case 0:
        proxy = any_entry().caller_proxy.get();
        break;
    case 1:
        proxy = any_entry().store_proxy.get();
        break;
    case 2:
        proxy = any_target().proxy.get();
        break;
    default:
        proxy = any_engine().agent_proxy.get();
        break;
    }
    if (random_.below(3) == 0) {
        proxy->reset_connections();
        co_return;
    }
    proxy->set_mode(modes.at(random_.below(modes.size())));
    co_await pause(200, 3000);
    proxy->set_mode(proxy_mode::pass);
}

asio::awaitable<void> fault_plan::publish() {
    world_.publish_configuration();
    co_return;
}

asio::awaitable<void> fault_plan::evacuate() {
    auto const domain = random_.below(fleet::domain_count);
    world_.evacuate(domain, true);
    co_await pause(1000, 6000);
    world_.evacuate(domain, false);
}

asio::awaitable<void> fault_plan::name_limit() {
    auto& site = any_target();
    if (!site.target->up() || site.target->limited())
        co_return;
    bool const in_refusals_only = random_.below(3) == 0;
    // The limit changes now and then before it ends.
    for (auto changes = random_.below(3) + 1; changes > 0; --changes) {
        world_.name_limit(
            site, platform::standin::named_limit{lowest_limit + random_.unit() * limit_range, in_refusals_only});
        co_await pause(4000, 9000);
        if (!site.target->limited())
            co_return;
    }
    world_.name_limit(site, {});
}

asio::awaitable<void> fault_plan::say_leaving() {
    auto& site = any_target();
    if (!site.target->up() || site.target->leaving() || site.target->says_leaving())
        co_return;
    auto const id = site.target->id();
    site.target->say_leaving(true);
    // The metadata store goes on listing it as ready.
    co_await pause(2000, 6000);
    if (!site.target->up() || site.target->id() != id)
        co_return;
    site.target->crash();
    world_.withdraw(site);
    co_await pause(100, 1000);
    world_.restart(site);
}

asio::awaitable<void> fault_plan::turn_away() {
    auto& site = any_target();
    if (!site.target->up())
        co_return;
    site.target->turn_away({base::milliseconds{500 + random_.below(3500)}, random_.below(2) == 0});
}

} // namespace cyclamenledge::soak
