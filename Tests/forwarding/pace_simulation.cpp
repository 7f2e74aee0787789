#include "forwarding/pace_simulation.h"

#include "base/random.h"
#include "forwarding/engine_pace.h"
#include "forwarding/engine_step.h"
#include "forwarding/fleet_fixture.h"
#include "forwarding/reservation_ledger.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <vector>

namespace cyclamenledge::tests {

namespace {

using namespace std::chrono_literals;
using namespace forwarding;

constexpr std::size_t entry_count = 6;
constexpr std::size_t engine_count = 12;
constexpr double long_per_second = 25.6 * engine_count / 53;
constexpr double short_per_second = 28.9 * engine_count / 53;
constexpr std::uint32_t memory = 26926;
constexpr std::uint32_t slots = 24;
constexpr double chunk_tokens = 112;

struct stream {
    std::string id;
    std::size_t entry{0};
    bool is_long{false};
    generation_size size;
    base::time_point arrived;
    double unread{0};
    std::uint32_t tokens{0};
    base::time_point last_event{};
    base::milliseconds first_event{};
    base::duration longest_pause{};
};
using stream_pointer = std::shared_ptr<stream>;

/// An engine with the agent beside it.
struct simulated_engine {
    std::string id;
    double usual{1};
    base::time_point slow_until{};
    base::time_point next_slow{};
    std::vector<stream_pointer> running;
    std::deque<stream_pointer> unread;
    base::time_point step_end{};
    bool stepping{false};
    engine_report latest;
    reservation_ledger ledger;
    engine_pace pace;

    double present(base::time_point now) const { return now < slow_until ? 2.5 * usual : usual; }
};

class simulation {
public:
    explicit simulation(pace_simulation_options const& options)
        : options_(options)
        , random_(options.seed) {
        std::vector<route> routes;
        service engines;
        engines.name = "writer";
        engines.engine = engine_capacity{slots, memory, true, false, 4};
        auto const configuration = std::make_shared<route_set const>(1, routes, std::vector<service>{engines},
                                                                     std::vector<organisation>{}, input_limits{});
        for (std::size_t entry = 0; entry < entry_count; ++entry) {
            entries_.push_back(make_fleet(options.seed * 100 + entry));
            entries_.back().configure_overload({0ms, options.follow});
            entries_.back().apply_routes(configuration);
        }
        for (std::size_t number = 0; number < engine_count; ++number) {
            simulated_engine engine;
            engine.id = "e" + std::to_string(number);
            engine.usual = number % 3 == 2 ? 1.7 : 0.7;
            engine.next_slow = fleet_start + pause_between_phases();
            for (auto& entry : entries_)
                entry.update_target(engine_record(engine.id, "north-a"), fleet_start - 5s);
            engines_.push_back(std::move(engine));
        }
    }

    pace_simulation_figures run() {
        for (now_ = fleet_start; now_ < fleet_start + 40s; now_ += 1ms) {
            for (auto& engine : engines_)
                advance(engine);
            if ((now_ - fleet_start) % 50ms == 0ms)
                report();
            if (now_ < fleet_start + 32s)
                arrive();
            if ((now_ - fleet_start) % 10ms == 0ms)
                place_waiting();
        }
        return figures_;
    }

private:
    /// Slow phases of 600 ms take up 15% of the time.
    base::duration pause_between_phases() {
        return std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double>(-3.4 * std::log(1 - random_.unit())));
    }

    void advance(simulated_engine& engine) {
        if (now_ >= engine.next_slow) {
            engine.slow_until = now_ + 600ms;
            engine.next_slow = engine.slow_until + pause_between_phases();
        }
        while (engine.stepping && engine.step_end <= now_)
            end_step(engine);
        if (!engine.stepping && (!engine.running.empty() || !engine.unread.empty())) {
            engine.step_end = now_;
            begin_step(engine);
        }
    }

    void begin_step(simulated_engine& engine) {
        engine.stepping = !engine.running.empty() || !engine.unread.empty();
        auto const length =
            engine_step::length(static_cast<double>(engine.running.size()), engine.unread.empty() ? 0 : 1);
        engine.step_end += std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double, std::milli>(length * engine.present(engine.step_end)));
    }

    void end_step(simulated_engine& engine) {
        auto const running = engine.running;
        for (auto const& item : running) {
            if (++item->tokens % 4 == 0)
                event(engine, *item);
        }
        std::erase_if(engine.running, [&](auto const& item) {
            bool const ended = item->tokens >= item->size.output_hint;
            if (ended)
                finish(engine, *item);
            return ended;
        });
        if (!engine.unread.empty()) {
            engine.unread.front()->unread -= chunk_tokens;
            if (engine.unread.front()->unread <= 0) {
                engine.running.push_back(engine.unread.front());
                engine.unread.pop_front();
            }
        }
        begin_step(engine);
    }

    void event(simulated_engine& engine, stream& item) {
        auto const at = engine.step_end;
        if (item.tokens == 4) {
            item.first_event = std::chrono::duration_cast<base::milliseconds>(at - item.arrived);
            auto const running = static_cast<std::uint32_t>(engine.running.size());
            auto const waiting = static_cast<std::uint32_t>(engine.unread.size());
            if (options_.follow) {
                auto& entry = entries_.at(item.entry);
                entry.on_pace_stated("writer");
                entry.update_load(engine.id, {running, waiting, slots, engine.present(at)}, at);
            }
        } else {
            item.longest_pause = std::max(item.longest_pause, at - item.last_event);
        }
        item.last_event = at;
    }

    void finish(simulated_engine& engine, stream const& item) {
        engine.ledger.end(item.id, now_);
        if (options_.follow)
            engine.pace.observe_stated(engine.present(engine.step_end), now_);
        entries_.at(item.entry).end_request(engine.id);
        auto& figures = item.is_long ? figures_.long_streams : figures_.short_streams;
        bool const late = item.first_event > (item.is_long ? 1800ms : 1500ms);
        bool const paused = item.longest_pause > 180ms;
        ++figures.finished;
        figures.late += late ? 1 : 0;
        figures.paused += paused ? 1 : 0;
        figures.on_time += late || paused ? 0 : 1;
    }

    /// Each agent reads its engine's report each 50 ms and sends it to the entries each 150 ms.
    void report() {
        for (std::size_t number = 0; number < engines_.size(); ++number) {
            auto& engine = engines_.at(number);
            engine_report report;
            report.total_tokens = memory;
            report.entries = entry_count;
            for (auto const& item : engine.running) {
                report.generating.push_back({item->id, item->size.prompt + item->tokens, item->tokens / 4});
                report.used_tokens += item->size.prompt + item->tokens;
            }
            for (auto const& item : engine.unread)
                report.used_tokens += item->size.prompt;
            report.reading = engine.unread.empty() ? 0 : 1;
            report.queued = static_cast<std::uint32_t>(engine.unread.size()) - report.reading;
            report.running = static_cast<std::uint32_t>(engine.running.size()) + report.reading;
            engine.latest = report;
            engine.ledger.observe(report, now_);
            engine.pace.observe_report(report, now_);
            auto const round = (now_ - fleet_start) / 50ms;
            if (static_cast<std::size_t>(round) % 3 == number % 3)
                send_report(engine);
        }
    }

    void send_report(simulated_engine& engine) {
        auto sent = engine.ledger.complete(engine.latest, now_);
        sent = engine.pace.followed() ? engine.pace.complete(sent, now_) : sent;
        sent.generating.clear();
        for (auto& entry : entries_)
            entry.update_report(engine.id + ":1", sent, now_);
    }

    void arrive() {
        for (bool const is_long : {true, false}) {
            if (random_.unit() >= (is_long ? long_per_second : short_per_second) / 1000)
                continue;
            auto item = std::make_shared<stream>();
            item->id = "s" + std::to_string(next_++);
            item->entry = random_.below(entry_count);
            item->is_long = is_long;
            item->size = is_long ? generation_size{3000, 1000, 752} : generation_size{2200, 32, 12};
            item->unread = item->size.prompt;
            item->arrived = now_;
            waiting_.push_back(item);
        }
    }

    void place_waiting() {
        // Short streams are the more urgent ones.
        std::ranges::stable_sort(waiting_, {}, &stream::is_long);
        std::erase_if(waiting_, [&](auto const& item) { return place(item); });
    }

    bool place(stream_pointer const& item) {
        auto& entry = entries_.at(item->entry);
        placement_request request;
        request.service = "writer";
        request.size = item->size;
        request.pause_objective = 180ms;
        request.accept_overcommit = now_ - item->arrived > 1100ms;
        auto const chosen = entry.choose(request, now_);
        if (chosen.kind != placement_kind::placed)
            return false;
        auto const engine = std::ranges::find(engines_, chosen.target, &simulated_engine::id);
        bool const granted = engine->ledger.grant(
            {item->entry, item->id, item->size.prompt, item->size.expected_memory(), slots, request.accept_overcommit},
            engine->latest, now_);
        if (granted && item->is_long && engine->usual > 1 && entry.pace_of(*entry.find(engine->id), now_) &&
            fast_engine_has_room(entry, request))
            ++figures_.long_at_risk_with_room_elsewhere;
        send_report(*engine);
        if (!granted)
            return false;
        entry.release_reservation(engine->id, entry.begin_request(engine->id, item->size, now_));
        engine->unread.push_back(item);
        return true;
    }

    /// Whether the entry would have placed the stream at a fast engine if it had to.
    bool fast_engine_has_room(fleet_view& entry, placement_request request) {
        std::vector<std::string> slow;
        for (auto const& engine : engines_) {
            if (engine.usual > 1)
                slow.push_back(engine.id);
        }
        request.excluded = slow;
        request.accept_overcommit = false;
        return entry.choose(request, now_).kind == placement_kind::placed;
    }

    pace_simulation_options options_;
    base::random_source random_;
    std::vector<fleet_view> entries_;
    std::vector<simulated_engine> engines_;
    std::vector<stream_pointer> waiting_;
    base::time_point now_{};
    std::uint64_t next_{1};
    pace_simulation_figures figures_;
};

} // namespace

std::string pace_simulation_figures::text() const {
    auto const describe = [](stream_figures const& figures) {
        return std::to_string(figures.finished) + " finished, " + std::to_string(figures.late) + " late, " +
               std::to_string(figures.paused) + " paused";
    };
    return "long: " + describe(long_streams) + "; short: " + describe(short_streams) +
           "; at risk: " + std::to_string(long_at_risk_with_room_elsewhere);
}

pace_simulation_figures simulate_paces(pace_simulation_options const& options) {
    return simulation{options}.run();
}

} // namespace cyclamenledge::tests
