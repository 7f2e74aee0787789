#include "soak/caller.h"
#include "soak/fault_plan.h"
#include "soak/fleet.h"
#include "soak/load.h"
#include "soak/run_ledger.h"

#include <CLI/CLI.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::soak {

namespace asio = boost::asio;

namespace {

struct options {
    std::uint64_t seed{1};
    std::uint64_t seeds{1};
    std::uint64_t seconds{20};
    std::size_t callers{24};
    fleet_size size{.versions = 2};
    std::string kept_output;
    std::string regressions;
    /// Empty for the fault plan.
    std::string load;
    std::optional<std::uint64_t> stop_milliseconds;
};

struct seed_case {
    std::uint64_t seed{0};
    std::uint64_t seconds{0};
    /// Empty for the fault plan.
    std::string load{};
};

// Time for entries to learn the configuration and the targets, at the start and after the last fault.
constexpr base::seconds start_time{3};
// Calls that were under way before the last repair end within their deadline; the calls after it are judged.
constexpr base::seconds recovery_time{5};
constexpr base::seconds judged_time{3};
// Calls that were sent last end within it.
constexpr base::seconds last_calls{4};
constexpr std::string_view load_field = "load=";
constexpr std::size_t most_printed = 20;
constexpr double served_after_recovery = 0.99;
// Planned operations and faults follow each other, so that planned ones are also judged undisturbed.
constexpr base::seconds planned_phase{8};
constexpr base::seconds fault_phase{6};
// From the acceptance of a generation that goes on from a copy to its first event, in milliseconds.
constexpr std::uint64_t longest_first_event = 900;
// Longest time in milliseconds for which what a generation has made is under way.
constexpr std::uint64_t longest_delivery = 400;
constexpr double last_copies_refused = 0.05;

class soak_run {
public:
    soak_run(options const& wanted, std::uint64_t seed)
        : options_(wanted)
        , seed_(seed)
        , random_(seed)
        , fleet_(context_, wanted.size, ledger_, random_)
        , plan_(context_, fleet_, ledger_, random_.next(), log_) {}

    bool run() {
        if (auto const started = fleet_.start(); !started) {
            std::cout << "seed " << seed_ << ": not run: " << started.error().message << std::endl;
            return false;
        }
        if (auto const* wanted = find_load(options_.load); wanted != nullptr)
            asio::co_spawn(context_, play_load(*wanted), asio::detached);
        else
            asio::co_spawn(context_, play(), asio::detached);
        context_.run();
        return report();
    }

private:
    asio::awaitable<void> pause(base::milliseconds length) {
        asio::steady_timer timer{context_, length};
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    asio::awaitable<void> watch_daemons() {
        while (!stop_) {
            co_await pause(base::milliseconds{100});
            fleet_.check_daemons();
        }
    }

    /// Some engines work on after their caller has closed the connection, and some make the first event after a
    /// resumption late.
    void vary_engines() {
        for (auto const& site : fleet_.targets()) {
            if (!site->target->where().engine)
                continue;
            site->usual.last_copy_refused = last_copies_refused;
            site->usual.works_on = random_.below(3) == 0 ? 1 : 0;
            site->usual.resumption_delay = base::milliseconds{random_.below(2) * random_.below(longest_first_event)};
            site->usual.unframed = random_.below(3) == 0 ? 1 : 0;
            site->usual.delivery_delay = base::milliseconds{random_.below(2) * random_.below(longest_delivery)};
            site->usual.begins_after_copy = random_.below(2) == 0;
            site->usual.copy_answers_repeated = random_.below(2) == 0;
            site->target->set_faults(site->usual);
        }
    }

    asio::awaitable<void> play() {
        vary_engines();
        co_await pause(start_time);
        asio::co_spawn(context_, watch_daemons(), asio::detached);
        for (std::size_t number = 0; number < options_.callers; ++number) {
            callers_.push_back(std::make_unique<caller>(context_, fleet_, ledger_, number + 1, random_.next()));
            asio::co_spawn(context_, callers_.back()->run(stop_, crashing_), asio::detached);
        }
        auto const end = base::clock::now() + base::seconds{options_.seconds};
        while (base::clock::now() < end) {
            ++crashing_.outbreak;
            co_await plan_.run(planned_phase, false);
            co_await plan_.run(fault_phase, true);
            co_await plan_.settle();
            crashing_.sent = base::clock::now() < end;
            co_await pause(recovery_time);
        }
        auto const served = ledger_.count(call_end::served);
        auto const ended = served + ledger_.count(call_end::refused) + ledger_.count(call_end::failed);
        co_await pause(judged_time);
        auto const served_then = ledger_.count(call_end::served) - served;
        auto const ended_then = ledger_.count(call_end::served) + ledger_.count(call_end::refused) +
                                ledger_.count(call_end::failed) - ended;
        if (served_then == 0 || served_then < served_after_recovery * ended_then)
            ledger_.violation("after the last fault " + std::to_string(served_then) + " of " +
                              std::to_string(ended_then) + " calls were served");
        ledger_.check_sound_streams();
        ledger_.check_taken_up_streams();
        stop_ = true;
        co_await pause(base::milliseconds{300});
        context_.stop();
    }

    asio::awaitable<void> play_load(load wanted) {
        if (options_.stop_milliseconds)
            wanted.stop_interval = base::milliseconds{*options_.stop_milliseconds};
        for (auto const& site : fleet_.targets()) {
            site->target->set_slow_calls(wanted.slow);
            if (!site->target->where().engine)
                site->usual = wanted.faults;
            site->target->set_faults(site->usual);
        }
        co_await pause(start_time);
        asio::co_spawn(context_, watch_daemons(), asio::detached);
        for (std::size_t number = 0; number < wanted.callers; ++number) {
            callers_.push_back(std::make_unique<caller>(context_, fleet_, ledger_, number + 1, random_.next()));
            asio::co_spawn(context_, callers_.back()->run_load(wanted, stop_), asio::detached);
        }
        auto const end = base::clock::now() + base::seconds{options_.seconds};
        if (wanted.harmed)
            asio::co_spawn(context_, plan_.run(base::seconds{options_.seconds}, true), asio::detached);
        if (wanted.stop_interval.count() > 0)
            co_await plan_.stop_in_series(wanted.stop_interval, wanted.interrupted, end);
        else
            co_await pause(base::seconds{options_.seconds});
        co_await plan_.settle();
        stop_ = true;
        co_await pause(last_calls);
        context_.stop();
    }

    void print_counts() const {
        std::cout << "  largest use of the bound on retries: " << ledger_.largest_retry_use() << "\n  by status:";
        for (auto const& [status, count] : ledger_.statuses())
            std::cout << ' ' << (status == 0 ? "none" : std::to_string(status)) << ' ' << count;
        std::cout << '\n';
        print_cuts(true, "passed on and cut off without an answer");
        print_cuts(false, "cut off before a target received them");
    }

    void print_cuts(bool passed_on, char const* text) const {
        auto const& cuts = ledger_.cut_calls();
        std::cout << "  plain calls " << text << ": " << std::ranges::count(cuts, passed_on, &cut_call::passed_on)
                  << '\n';
        for (auto const& cut : cuts) {
            if (cut.passed_on != passed_on)
                continue;
            std::cout << "    " << cut.request << " at entry " << cut.entry << " over a " << (cut.kept ? "kept" : "new")
                      << " connection, cut " << cut.lasted.count() << " ms after it was sent";
            if (cut.sent_after_stop)
                std::cout << ", " << cut.sent_after_stop->count() << " ms from the SIGTERM";
            std::cout << '\n';
        }
    }

    bool report() {
        bool const good = ledger_.violations().empty();
        std::cout << "seed " << seed_ << ": " << (good ? "kept" : "BROKEN") << ", " << ledger_.calls() << " calls, "
                  << ledger_.count(call_end::served) << " served, " << ledger_.count(call_end::refused) << " refused, "
                  << ledger_.count(call_end::failed) << " failed, " << ledger_.count(call_end::broken)
                  << " broken off, " << ledger_.count(call_end::left) << " left" << std::endl;
        if (!options_.load.empty())
            print_counts();
        if (good)
            return true;
        auto const& violations = ledger_.violations();
        for (std::size_t index = 0; index < std::min(violations.size(), most_printed); ++index)
            std::cout << "  " << violations[index] << '\n';
        if (violations.size() > most_printed)
            std::cout << "  and " << violations.size() - most_printed << " more\n";
        std::cout << "  output of the programs: " << keep_output() << std::endl;
        return false;
    }

    std::string keep_output() {
        if (options_.kept_output.empty())
            return "not kept, see --keep";
        auto const folder = std::filesystem::path{options_.kept_output} / ("seed-" + std::to_string(seed_));
        std::error_code code;
        std::filesystem::create_directories(options_.kept_output, code);
        std::filesystem::copy(fleet_.output_folder(), folder, std::filesystem::copy_options::recursive, code);
        std::ofstream{folder / "actions.txt"} << log_.str();
        return code ? code.message() : folder.string();
    }

    options options_;
    std::uint64_t seed_;
    base::random_source random_;
    asio::io_context context_;
    run_ledger ledger_;
    std::ostringstream log_;
    bool stop_{false};
    crashing_traffic crashing_;
    fleet fleet_;
    fault_plan plan_;
    std::vector<std::unique_ptr<caller>> callers_;
};

/// Lines of SEED SECONDS, load=NAME where a load was played, and the cause; others are comments.
std::vector<seed_case> read_cases(std::string const& path) {
    std::vector<seed_case> cases;
    std::ifstream in{path};
    for (std::string line; std::getline(in, line);) {
        std::istringstream fields{line};
        seed_case read;
        if (!(fields >> read.seed >> read.seconds))
            continue;
        std::string word;
        if (fields >> word && word.starts_with(load_field))
            read.load = word.substr(load_field.size());
        cases.push_back(read);
    }
    return cases;
}

int run(int count, char** arguments) {
    options wanted;
    CLI::App app{"Runs the daemons on loopback under faults and checks what callers and targets see."};
    app.add_option("--seed", wanted.seed, "First seed");
    app.add_option("--seeds", wanted.seeds, "Number of seeds, played one after the other");
    app.add_option("--seconds", wanted.seconds, "Length of the faults of each seed, in seconds");
    app.add_option("--callers", wanted.callers, "Callers that send one call after the other");
    app.add_option("--entries", wanted.size.entries, "Entry processes");
    app.add_option("--engines", wanted.size.engines, "Engines, each with an agent process");
    app.add_option("--services", wanted.size.services, "Targets of the plain service");
    app.add_option("--keep", wanted.kept_output, "Folder for the output of seeds that broke a promise");
    app.add_option("--regressions", wanted.regressions, "File with seeds to play instead");
    app.add_option("--daemon", wanted.size.daemon, "Program that runs as entries and agents");
    app.add_flag("!--no-agents", wanted.size.agents, "Run no agents beside the engines");
    std::vector<std::string> names;
    std::ranges::transform(loads(), std::back_inserter(names), &load::name);
    app.add_option("--load", wanted.load, "Load to play instead of the fault plan")->check(CLI::IsMember(names));
    app.add_option("--stops", wanted.stop_milliseconds, "From one stop of an entry to the next, in milliseconds");
    app.add_option("--versions", wanted.size.versions, "Software versions of the engines");
    app.add_option("--slots", wanted.size.service_slots, "Slots that each target of the plain service announces");
    CLI11_PARSE(app, count, arguments);
    std::vector<seed_case> cases;
    if (wanted.regressions.empty()) {
        for (std::uint64_t seed = wanted.seed; seed < wanted.seed + wanted.seeds; ++seed)
            cases.push_back({seed, wanted.seconds, wanted.load});
    } else {
        cases = read_cases(wanted.regressions);
    }
    std::uint64_t broken = 0;
    for (auto const& played : cases) {
        wanted.seconds = played.seconds;
        wanted.load = played.load;
        // Not drawn, so that what a seed draws stays the same.
        wanted.size.odd_publications = played.seed % 2 == 0;
        broken += soak_run{wanted, played.seed}.run() ? 0 : 1;
    }
    std::cout << cases.size() << " seeds, " << broken << " broken" << std::endl;
    return broken == 0 && !cases.empty() ? 0 : 1;
}

} // namespace

} // namespace cyclamenledge::soak

int main(int count, char** arguments) {
    return cyclamenledge::soak::run(count, arguments);
}
