// After an outage of the store, an entry that follows the seeds takes every removal of a runner as not confirmed for as
// long as it follows them, and keeps the runner in use for 2.2 s from when it learns of the removal. With the pause
// between two watches of the seeds, requests reach the runner later than drainMs after the removal.
#include "../harness/client.hpp"

using namespace review;

int main(int argument_count, char** arguments) {
    return run_case(argument_count, arguments, [](fleet& served) {
        std::vector<route> routes{{"r-read", "/read/", "idempotent", "kiosk-app", 1200, 250, 2},
                                  {"r-order", "/order/", "non_idempotent", "kiosk-app", 1200, 250, 1}};
        served.add_runners("kiosk-app", 4);
        served.publish(routes);
        served.add_entries(4);
        if (!served.wait_until_ready())
            return verdict::not_run;
        call_book calls;
        crowd callers{served, calls};
        callers.add(4, {0, 1, 2, 3}, {.method = "POST", .path = "/order/1", .body = "one candle"}, 120);
        callers.add(8, {0, 1, 2, 3}, {.method = "GET", .path = "/read/1"}, 120);
        sleep_ms(fleet::contact_ms + 2000);

        auto& lapsing = *served.runners[1];
        if (with_trouble()) {
            say("the store answers 503 for 4.5 s; the entry of %s expires meanwhile", lapsing.where().id.c_str());
            for (auto const& port : served.store_ports)
                served.metadata.set_access(port, store_access::busy);
            sleep_ms(2500);
            lapsing.withdraw();
            sleep_ms(2000);
            for (auto const& port : served.store_ports)
                served.metadata.set_access(port, store_access::serving);
            say("the store answers again");
        }
        // The operator writes what it could not write before, one version each 0.33 s for 4 s.
        for (int version = 0; version < 12; ++version) {
            sleep_ms(330);
            routes[0].timeout_ms = 1200 + version;
            served.publish(routes);
            // The entry is back within two seconds.
            if (with_trouble() && version == 2)
                lapsing.announce();
        }
        say("nothing happens for 8 s");
        sleep_ms(8000);

        say("a runner joins");
        served.add_runners("kiosk-app", 1, [](runner::place& place) { place.id = "i-kiosk-app-new"; });
        sleep_ms(100);
        auto& leaver = *served.runners[0];
        leaver.withdraw();
        auto const removed_at = now_ms();
        say("the store has removed the entry of %s, which goes on serving", leaver.where().id.c_str());
        sleep_ms(6000);
        callers.stop();

        int late = 0;
        double last = 0;
        std::set<int> entries;
        auto const made_calls = calls.all();
        for (auto const& item : served.book.all()) {
            if (item.runner != leaver.where().id || item.at <= removed_at + fleet::drain_ms)
                continue;
            ++late;
            last = item.at - removed_at;
            for (auto const& made : made_calls) {
                if (made.request == item.request)
                    entries.insert(made.entry + 1);
            }
        }
        say("requests that reached it later than %.0f ms after the removal: %d, the last one after %.0f ms",
            fleet::drain_ms, late, last);
        for (auto const entry : entries)
            say("sent by entry %d", entry);
        return late > 0 ? verdict::broken : verdict::held;
    });
}
