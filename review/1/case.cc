// A stream whose content has been on a crashed runner loses its channel at a runner that leaves. The entry then waits
// on a timer that it has freed, and the process ends sooner or later.
#include "../harness/client.hpp"

using namespace review;

namespace {

/// One of six: within the largest share of the site for crashes and for runners that leave (0.17).
constexpr std::size_t runners_at_once = 1;

void model_runner(runner::place& place) {
    place.model = true;
    place.slots = 24;
    place.events = 260;
    place.event_ms = 25;
}

/// Model runners that are there, the ones with most streams that were at the lost ones first.
std::vector<runner*> find_heirs(fleet& served, std::set<std::string> const& lost, std::set<runner*> const& gone) {
    std::set<std::string> requests;
    std::map<std::string, int> resumed;
    for (auto const& item : served.book.all()) {
        if (lost.contains(item.runner))
            requests.insert(item.request);
        else if (requests.contains(item.request))
            ++resumed[item.runner];
    }
    std::vector<runner*> heirs;
    for (auto const& item : served.runners) {
        if (item->where().model && !lost.contains(item->where().id) && !gone.contains(item.get()))
            heirs.push_back(item.get());
    }
    std::ranges::stable_sort(heirs, std::greater{}, [&](runner* item) { return resumed[item->where().id]; });
    for (std::size_t number = 0; number < runners_at_once; ++number)
        log("%d streams of the crashed runners went on at %s", resumed[heirs[number]->where().id],
            heirs[number]->where().id.c_str());
    return heirs;
}

} // namespace

int main(int argument_count, char** arguments) {
    return run_case(argument_count, arguments, [](fleet& served) {
        served.add_runners("wording-llm", 6, model_runner);
        served.add_runners("kiosk-app", 3);
        served.publish({{"r-note", "/note/", "streaming", "wording-llm", 39000, 1500, 3, true},
                        {"r-order", "/order/", "non_idempotent", "kiosk-app", 1200, 250, 1}});
        served.add_entries(2);
        served.add_agents();
        if (!served.wait_until_ready())
            return verdict::not_run;
        // The reserve of retries is used once a process has run for budgetWindowS.
        sleep_ms(11000);
        call_book calls;
        crowd callers{served, calls};
        callers.add(6, {0, 1}, {.method = "POST", .path = "/order/1", .body = "one candle"}, 60);
        std::atomic<bool> stopped{false};
        std::vector<std::thread> threads;
        for (int number = 0; number < 56; ++number) {
            threads.emplace_back([&, number] {
                client one{served, number % 2, calls};
                sleep_ms(50 * number);
                for (int round = 0; !stopped; ++round) {
                    auto const body = "prayer " + std::to_string(number) + " " + std::to_string(round);
                    one.send({.method = "POST",
                              .path = "/note/1",
                              .deadline_ms = 39000,
                              .body = body,
                              .more = {{"X-Model", "m"},
                                       {"X-Token-Count", "1460,1040"},
                                       {"X-Prefix-Hash", "5c1e07a2:800,e4402b7d:250"}}});
                    sleep_ms(50);
                }
            });
        }
        std::set<runner*> gone;
        bool ended = false;
        int ended_entry = -1;
        double ended_at = 0;
        auto const watch = [&](double length) {
            for (auto const until = now_ms() + length; now_ms() < until && !ended; sleep_ms(20)) {
                for (std::size_t number = 0; number < served.entries.size() && !ended; ++number) {
                    if (!served.entries[number]->ended())
                        continue;
                    ended = true;
                    ended_entry = static_cast<int>(number);
                    ended_at = now_ms();
                }
            }
        };
        watch(3500);
        for (int round = 0; round < 17 && !ended; ++round) {
            std::set<std::string> crashed;
            for (auto const& item : served.runners) {
                if (!item->where().model || gone.contains(item.get()) || crashed.size() == runners_at_once)
                    continue;
                crashed.insert(item->where().id);
                if (with_trouble()) {
                    gone.insert(item.get());
                    item->end();
                }
            }
            watch(1200);
            auto heirs = find_heirs(served, crashed, gone);
            heirs.resize(runners_at_once);
            for (auto* const item : heirs) {
                gone.insert(item);
                item->leave();
            }
            watch(2600);
            for (auto* const item : heirs) {
                item->end();
                item->withdraw();
            }
            say("round %d: %zu runners have %s, %zu others have left", round + 1, crashed.size(),
                with_trouble() ? "crashed" : "stayed", heirs.size());
            // The entries of crashed runners expire after three heartbeats; others take the places of all.
            for (auto const& item : served.runners) {
                if (with_trouble() && crashed.contains(item->where().id))
                    item->withdraw();
            }
            served.add_runners("wording-llm", static_cast<int>(with_trouble() ? 2 * runners_at_once : runners_at_once),
                               [&](runner::place& place) {
                                   model_runner(place);
                                   place.id += "-" + std::to_string(served.runners.size());
                               });
            served.add_agents();
            watch(1500);
        }
        say(ended ? "an entry has ended by itself" : "all entries run");
        stopped = true;
        // The clients of the ended entry notice.
        sleep_ms(300);
        std::map<std::string, run> latest;
        for (auto const& item : served.book.all())
            latest[item.request] = item;
        std::set<std::string> unsound;
        for (auto* const item : gone)
            unsound.insert(item->where().id);
        int lost = 0;
        for (auto const& made : calls.all()) {
            auto const ran = latest.find(made.request);
            // Closed by the end of the process, from a kept channel, and passed on to a runner that is sound.
            if (made.entry == ended_entry && made.status.empty() && !made.timed_out && made.kept_channel &&
                std::abs(made.ended_at - ended_at) < 200 && ran != latest.end() &&
                !unsound.contains(ran->second.runner))
                ++lost;
        }
        say("requests from kept channels that lost their answers with the process, at sound runners: %d", lost);
        // Ends the calls that wait.
        served.entries.clear();
        for (auto& item : threads)
            item.join();
        callers.stop();
        return ended && lost > 3 ? verdict::broken : verdict::held;
    });
}
