// A cut watch makes entries keep a runner in use for 2.2 s after they have learnt that its entry was removed. With the
// pause between two watches, requests reach the runner later than drainMs after the removal.
#include "../harness/client.h"

using namespace review;

int main(int argument_count, char** arguments) {
    return run_case(argument_count, arguments, [](fleet& served) {
        served.add_runners("kiosk-app", 4);
        served.publish({{"r-read", "/read/", "idempotent", "kiosk-app", 1200, 250, 2},
                        {"r-order", "/order/", "non_idempotent", "kiosk-app", 1200, 250, 1}});
        served.add_entries(4);
        if (!served.wait_until_ready())
            return verdict::not_run;
        call_book calls;
        crowd callers{served, calls};
        callers.add(4, {0, 1, 2, 3}, {.method = "POST", .path = "/order/1", .body = "one candle"}, 120);
        callers.add(4, {0, 1, 2, 3}, {.method = "GET", .path = "/read/1"}, 120);
        // Everything has been in touch for longer than contactMs.
        sleep_ms(fleet::contact_ms + 2000);

        if (with_trouble()) {
            say("the store cuts the watches that wait");
            served.metadata.cut_watches();
        }
        sleep_ms(600);
        say("a runner joins");
        served.add_runners("kiosk-app", 1, [](runner::place& place) { place.id = "i-kiosk-app-new"; });
        sleep_ms(100);
        auto& leaver = *served.runners[1];
        leaver.withdraw();
        auto const removed_at = now_ms();
        say("the store has removed the entry of %s, which goes on serving", leaver.where().id.c_str());
        sleep_ms(6000);
        callers.stop();

        int late = 0;
        double last = 0;
        for (auto const& item : served.book.all()) {
            if (item.runner != leaver.where().id || item.at <= removed_at + fleet::drain_ms)
                continue;
            ++late;
            last = item.at - removed_at;
        }
        say("requests that reached it later than %.0f ms after the removal: %d, the last one after %.0f ms",
            fleet::drain_ms, late, last);
        return late > 0 ? verdict::broken : verdict::held;
    });
}
