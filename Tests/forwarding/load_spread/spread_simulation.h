#pragma once

#include "base/random.h"
#include "forwarding/fleet_view.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

using namespace std::chrono_literals;
using namespace forwarding;

inline constexpr base::time_point simulation_start{std::chrono::hours{1}};
inline constexpr base::milliseconds tick{5};
inline constexpr base::milliseconds warm_up{4000};
inline constexpr std::uint32_t engine_memory = 26926;
/// Arrivals a second and prompt and output tokens of the long and the short streams of customer 1.
struct stream_kind {
    double rate;
    std::uint32_t prompt, output;
};
inline constexpr std::array<stream_kind, 2> stream_kinds{{{25.5, 3000, 744}, {28.5, 2200, 12}}};
/// Time per token of an engine of pace 1 with the usual number of streams.
inline constexpr double token_time = 0.01;

struct scenario {
    char const* name;
    std::size_t entries{30};
    bool spread{true};
    /// Age of every report. No value: reports come at once, 150 to 600 ms after each other.
    std::optional<base::milliseconds> report_age{500ms};
    std::vector<double> paces{1};
    /// Share of the reports that do not arrive at an entry.
    double missing{0};
    /// Number of entries that the reports name in relation to the real one. Zero for unknown.
    double count_factor{1};
    /// All entries restart after ten seconds.
    bool restarts{false};
    /// The first target sends no report after ten seconds.
    bool falls_silent{false};
    /// Agents refuse what does not fit, so that the entry asks another.
    bool agents_refuse{false};
};

struct measured {
    /// Of the load over targets of one pace, in loads of an engine.
    double deviation{0};
    /// Longest time for which a target had no request while a prompt waited behind another at a target.
    base::milliseconds longest_idle{0};
    double messages_per_second{0};
};

struct simulated_target {
    struct run {
        base::time_point read_at, end;
        std::uint32_t memory;
        std::size_t entry;
        std::uint64_t reservation;
        base::time_point placed_at;
    };
    std::string id, domain;
    double pace{1};
    base::time_point read_until{}, next_report{};
    base::milliseconds idle{0};
    std::vector<run> runs{};
    std::deque<std::pair<base::time_point, engine_report>> reports{};

    std::uint32_t memory() const {
        return std::accumulate(runs.begin(), runs.end(), 0U,
                               [](auto sum, auto const& item) { return sum + item.memory; });
    }
    double unread_seconds(base::time_point now) const { return std::max(0.0, base::to_seconds(read_until - now)); }
    double load(base::time_point now) const { return memory() * 1.0 / engine_memory + unread_seconds(now); }
    bool queues(base::time_point now) const {
        return std::ranges::count_if(runs, [now](auto const& item) { return item.read_at > now; }) > 1;
    }
};

/// Entries that place streams on 46 engines by their reports in virtual time. An engine reads one prompt after the
/// other and generates the events of all its streams at once.
class spread_simulation {
public:
    spread_simulation(scenario tested, std::uint64_t seed)
        : scenario_(std::move(tested))
        , random_(seed) {
        for (std::size_t index = 0; index < 46; ++index)
            targets_.push_back({"e" + std::to_string(index), "d" + std::to_string(index % 6),
                                scenario_.paces[index / 6 % scenario_.paces.size()]});
        start_entries();
    }

    measured run() {
        measured result;
        double variance = 0;
        int samples = 0;
        for (; now_ < simulation_start + warm_up + 20s; now_ += tick) {
            if (scenario_.restarts && now_ == simulation_start + 10s)
                start_entries();
            for (auto& target : targets_)
                advance(target);
            arrive();
            if (now_ < simulation_start + warm_up)
                continue;
            variance += variance_of_load();
            ++samples;
            bool const queue = std::ranges::any_of(targets_, [&](auto const& item) { return item.queues(now_); });
            for (auto& target : targets_) {
                target.idle = queue && target.runs.empty() ? target.idle + tick : 0ms;
                if (!scenario_.falls_silent || &target != &targets_.front())
                    result.longest_idle = std::max(result.longest_idle, target.idle);
            }
        }
        result.deviation = std::sqrt(variance / samples);
        result.messages_per_second = messages_ / base::to_seconds(now_ - simulation_start);
        return result;
    }

private:
    struct arrival {
        stream_kind kind;
        std::size_t entry;
    };

    void start_entries() {
        std::map<std::string, std::string> regions;
        for (int domain = 0; domain < 6; ++domain)
            regions["d" + std::to_string(domain)] = "r" + std::to_string(domain / 2);
        service engines{"writer", 0, engine_capacity{24, engine_memory, true, true, 4}};
        route streams;
        streams.services = {{"writer", 1}};
        streams.kind = request_kind::stream;
        streams.latency_objective = 4s;
        auto const routes = std::make_shared<route_set const>(1, std::vector{streams}, std::vector{engines},
                                                              std::vector<organisation>{}, input_limits{});
        entries_.clear();
        for (std::size_t index = 0; index < scenario_.entries; ++index) {
            auto& entry = entries_.emplace_back("d" + std::to_string(index % 6), regions, random_.next());
            entry.configure_overload({scenario_.spread ? base::milliseconds{1000} : 0ms, false});
            entry.apply_routes(routes);
            for (auto const& target : targets_)
                entry.update_target({target.id, "writer", target.id, target.domain, 24, {}, {}, {}, 0, 0}, now_);
        }
    }

    engine_report report_of(simulated_target const& target) const {
        engine_report report;
        report.running = static_cast<std::uint32_t>(target.runs.size());
        report.total_tokens = engine_memory;
        report.committed_tokens = target.memory();
        report.reading_pace = engine_report::default_reading_pace / target.pace;
        report.unread_tokens = static_cast<std::uint32_t>(target.unread_seconds(now_) * 1000 * report.reading_pace);
        report.entries =
            static_cast<std::uint32_t>(std::lround(static_cast<double>(scenario_.entries) * scenario_.count_factor));
        return report;
    }

    void advance(simulated_target& target) {
        std::erase_if(target.runs, [&](auto const& item) {
            if (item.end <= now_)
                entries_[item.entry].end_request(target.id);
            return item.end <= now_;
        });
        bool const silent = scenario_.falls_silent && &target == &targets_.front() && now_ > simulation_start + 10s;
        if (now_ >= target.next_report && !silent) {
            auto const age = scenario_.report_age;
            target.reports.emplace_back(now_, report_of(target));
            target.next_report = now_ + (age ? std::min(*age, 100ms) : base::milliseconds{150 + random_.below(451)});
        }
        while (!target.reports.empty() && now_ >= target.reports.front().first + scenario_.report_age.value_or(0ms)) {
            auto const& [at, report] = target.reports.front();
            for (std::size_t index = 0; index < entries_.size(); ++index) {
                ++messages_;
                if (random_.unit() < scenario_.missing)
                    continue;
                entries_[index].update_report(target.id, report, at);
                for (auto const& item : target.runs) {
                    if (item.entry == index && item.placed_at < at)
                        entries_[index].release_reservation(target.id, item.reservation);
                }
            }
            target.reports.pop_front();
        }
    }

    void arrive() {
        for (auto const& kind : stream_kinds) {
            if (random_.unit() < kind.rate * base::to_seconds(tick))
                waiting_.push_back({kind, random_.below(entries_.size())});
        }
        std::erase_if(waiting_, [&](auto const& next) { return place(next); });
    }

    /// Asks up to four agents. Returns whether one had room.
    bool place(arrival const& next) {
        auto& entry = entries_[next.entry];
        placement_request request;
        request.service = "writer";
        request.size = generation_size{next.kind.prompt, 2 * next.kind.output, next.kind.output};
        std::vector<std::string> asked;
        while (asked.size() < 4) {
            request.excluded = asked;
            auto const chosen = entry.choose(request, now_);
            if (chosen.kind != placement_kind::placed)
                return false;
            messages_ += 2;
            auto& target = *std::ranges::find(targets_, chosen.target, &simulated_target::id);
            if (scenario_.agents_refuse && (target.memory() + request.size->expected_memory() > engine_memory ||
                                            target.unread_seconds(now_) > 0.5)) {
                asked.push_back(chosen.target);
                continue;
            }
            auto const reading = next.kind.prompt / engine_report::default_reading_pace / 1000 * target.pace;
            auto const output = -std::log(1 - random_.unit()) * next.kind.output * token_time * target.pace;
            target.read_until = std::max(target.read_until, now_) + base::from_seconds(reading);
            auto const number = entry.begin_request(target.id, request.size, now_);
            target.runs.push_back({target.read_until, target.read_until + base::from_seconds(output),
                                   request.size->expected_memory(), next.entry, number, now_});
            return true;
        }
        return false;
    }

    double variance_of_load() const {
        std::map<double, std::vector<double>> loads;
        for (auto const& target : targets_)
            loads[target.pace].push_back(target.load(now_));
        double sum = 0;
        for (auto const& [pace, values] : loads) {
            auto const mean = std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
            for (auto const value : values)
                sum += (value - mean) * (value - mean);
        }
        return sum / static_cast<double>(targets_.size());
    }

    scenario scenario_;
    base::random_source random_;
    base::time_point now_{simulation_start};
    std::vector<simulated_target> targets_;
    std::deque<fleet_view> entries_;
    std::vector<arrival> waiting_;
    double messages_{0};
};

} // namespace cyclamenledge::tests
