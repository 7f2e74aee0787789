#include "comparison.h"

#include "base/random.h"
#include "routing/tables.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <functional>
#include <limits>
#include <queue>

namespace cyclamenledge::routing_bench {

namespace {

using namespace std::chrono_literals;

base::time_point const start{1h};
constexpr base::seconds warm_up_time{20};
constexpr base::seconds run_time{120};
constexpr base::milliseconds hint_interval{1000};
constexpr base::milliseconds hint_lag{200};
constexpr base::milliseconds region_delay{20};
constexpr double mean_service_seconds = 1.0;
constexpr std::uint32_t slots_per_target = 8;
constexpr std::size_t slow_target_every = 4;
constexpr double utilisation = 0.72;
/// Parts of the traffic by region; the targets are spread evenly, so the first region is above its capacity.
constexpr std::array<double, 3> region_traffic{0.48, 0.30, 0.22};
tests::fleet const fleet_size{30, 60, 1, 3, 6};

enum class choice { routing, round_robin, least_outstanding };

struct job {
    std::size_t entry;
    std::string_view target;
    base::time_point arrived;
};

struct queue_target {
    std::deque<job> waiting;
    std::uint32_t running{0};
    double speed{1};
};

struct event {
    base::time_point at;
    std::uint64_t order;
    std::function<void()> run;
    bool operator>(event const& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
};

struct figures {
    std::vector<double> waits;
    std::size_t crossed{0};
    double quantile(double q) {
        auto const position = static_cast<std::ptrdiff_t>(q * static_cast<double>(waits.size() - 1));
        std::nth_element(waits.begin(), waits.begin() + position, waits.end());
        return waits[static_cast<std::size_t>(position)];
    }
    double crossing_share() const { return static_cast<double>(crossed) / static_cast<double>(waits.size()); }
};

class simulation {
public:
    simulation(choice chosen, std::uint64_t seed)
        : choice_(chosen)
        , random_(seed) {
        auto const published = tests::make_catalogue(fleet_size);
        for (std::size_t i = 0; i < fleet_size.entries; ++i) {
            tables_.push_back(tests::table_builder(published, i).build(start - 60s).value());
            tests::report_all_warm(tables_.back(), start - 60s);
            turns_.push_back(i);
        }
        for (std::size_t i = 0; i < fleet_size.targets; ++i) {
            auto const& name = published->targets()[i].name;
            targets_[name].speed = i % slow_target_every == 0 ? 0.5 : 1.0;
            at(start + base::milliseconds{random_.below(1000)}, [this, &name] { report(name); });
        }
        published_ = published;
        at(start, [this] { arrive(); });
    }

    figures run() {
        while (!events_.empty() && events_.top().at < start + run_time) {
            auto next = events_.top();
            events_.pop();
            now_ = next.at;
            next.run();
        }
        return std::move(result_);
    }

private:
    void at(base::time_point time, std::function<void()> run) { events_.push({time, order_++, std::move(run)}); }

    double exponential(double mean) { return -mean * std::log(1 - random_.unit()); }

    void arrive() {
        double speed = 0;
        for (auto const& [name, target] : targets_)
            speed += target.speed;
        auto const rate = utilisation * speed * slots_per_target / mean_service_seconds;
        at(now_ + base::from_seconds(exponential(1 / rate)), [this] { arrive(); });
        auto const draw = random_.unit();
        std::size_t const region = draw < region_traffic[0] ? 0 : draw < region_traffic[0] + region_traffic[1] ? 1 : 2;
        auto const entry = region + 3 * random_.below(fleet_size.entries / 3);
        auto& table = tables_[entry];
        auto const name = pick(entry);
        bool const crosses = table.find(name)->crosses_region;
        table.on_sent(name, 0, now_);
        if (now_ >= start + warm_up_time)
            result_.crossed += crosses ? 1 : 0;
        auto const arrived = now_;
        at(now_ + (crosses ? region_delay : 0ms), [this, entry, name, arrived] {
            targets_[name].waiting.push_back({entry, name, arrived});
            serve(name);
        });
    }

    std::string_view pick(std::size_t entry) {
        auto& table = tables_[entry];
        auto const& states = table.targets();
        if (choice_ == choice::round_robin)
            return states[turns_[entry]++ % states.size()].name;
        if (choice_ == choice::routing) {
            routing::route_request request;
            request.service = "service-0";
            return table.choose(request, now_).target;
        }
        auto const first = turns_[entry]++ % states.size();
        auto best = first;
        for (std::size_t i = 1; i < states.size(); ++i) {
            auto const other = (first + i) % states.size();
            if (states[other].own_outstanding < states[best].own_outstanding)
                best = other;
        }
        return states[best].name;
    }

    void serve(std::string_view name) {
        auto& target = targets_[name];
        while (target.running < slots_per_target && !target.waiting.empty()) {
            auto const next = target.waiting.front();
            target.waiting.pop_front();
            ++target.running;
            // The delay between regions counts as waiting, because the caller waits for it as well.
            if (next.arrived >= start + warm_up_time)
                result_.waits.push_back(base::to_seconds(now_ - next.arrived));
            at(now_ + base::from_seconds(exponential(mean_service_seconds / target.speed)), [this, next] {
                --targets_[next.target].running;
                tables_[next.entry].on_outcome(next.target, routing::attempt_outcome::success, now_ - next.arrived,
                                               now_);
                serve(next.target);
            });
        }
    }

    void report(std::string_view name) {
        auto const& target = targets_[name];
        routing::load_hint const hint{target.running, static_cast<std::uint32_t>(target.waiting.size()),
                                      slots_per_target, 1};
        at(now_ + hint_lag, [this, name, hint] {
            for (auto& table : tables_)
                table.update_hint(name, hint, now_);
        });
        at(now_ + hint_interval, [this, name] { report(name); });
    }

    choice choice_;
    base::random_source random_;
    catalogue::catalogue_pointer published_;
    std::vector<routing::target_table> tables_;
    std::vector<std::size_t> turns_;
    std::unordered_map<std::string_view, queue_target> targets_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t order_{0};
    base::time_point now_{start};
    figures result_;
};

} // namespace

void compare_choices(std::uint64_t seed) {
    auto routing = simulation(choice::routing, seed).run();
    auto const p95 = routing.quantile(0.95);
    auto const p99 = routing.quantile(0.99);
    std::printf("seed %llu\n%-18s p95 %.3f s, p99 %.3f s, crossing %.3f\n", static_cast<unsigned long long>(seed),
                "routing", p95, p99, routing.crossing_share());
    for (auto const& [kind, name] :
         {std::pair{choice::round_robin, "round robin"}, std::pair{choice::least_outstanding, "least outstanding"}}) {
        auto other = simulation(kind, seed).run();
        std::printf("%-18s p95 x %.2f, p99 x %.2f, crossing x %.2f\n", name, other.quantile(0.95) / p95,
                    other.quantile(0.99) / p99, other.crossing_share() / routing.crossing_share());
    }
}

} // namespace cyclamenledge::routing_bench
