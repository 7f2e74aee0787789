// An entry that is not a seed follows the seeds and not the store while two of them send to it. Seeds that have lost
// the store go on sending the old revision for up to 4.2 s, so the entry in touch applies changes too late.
#include "../harness/client.hpp"

using namespace review;

int main(int argument_count, char** arguments) {
    return run_case(argument_count, arguments, [](fleet& served) {
        std::vector<route> const routes{{"r-read", "/read/", "idempotent", "kiosk-app", 1200, 250, 2},
                                        {"r-order", "/order/", "non_idempotent", "kiosk-app", 1200, 250, 1}};
        auto routes_with_old = routes;
        routes_with_old.push_back({"r-old", "/old/", "idempotent", "kiosk-app", 1200, 250, 2});
        std::string const second_key = "wsjnbanfqasnmgkcuyj8";
        served.add_runners("kiosk-app", 3);
        served.publish(routes_with_old, {api_key, second_key});
        served.add_entries(4);
        if (!served.wait_until_ready())
            return verdict::not_run;
        call_book calls;
        crowd callers{served, calls};
        callers.add(4, {0, 1, 2, 3}, {.method = "POST", .path = "/order/1", .body = "one candle"}, 120);
        // The clients of entry 4 show what is in force there.
        request_text const old_route{.method = "GET", .path = "/old/1"};
        request_text const old_key{.method = "GET", .path = "/read/1", .key = second_key};
        callers.add(2, {3}, old_route, 50);
        callers.add(2, {3}, old_key, 50);
        // Everything has been in touch for longer than contactMs.
        sleep_ms(fleet::contact_ms + 2000);

        auto changed = routes_with_old;
        changed[0].timeout_ms = 1300;
        served.publish(changed, {api_key, second_key});
        sleep_ms(300);
        if (with_trouble()) {
            for (int seed = 0; seed < 3; ++seed)
                served.metadata.set_access(served.store_ports[static_cast<std::size_t>(seed)], store_access::silent);
            say("the store no longer answers entries 1 to 3, the seeds; it answers entry 4");
        }
        sleep_ms(100);
        served.publish(routes);
        auto const acked_at = now_ms();
        say("the store has acknowledged a version without the route /old/ and without one key");
        sleep_ms(5500);
        if (with_trouble()) {
            for (int seed = 0; seed < 3; ++seed)
                served.metadata.set_access(served.store_ports[static_cast<std::size_t>(seed)], store_access::serving);
        }
        sleep_ms(1500);
        callers.stop();

        int route_used = 0;
        int key_used = 0;
        double last = 0;
        for (auto const& made : calls.all()) {
            auto const after = made.sent_at - acked_at;
            if (made.entry != 3 || after <= fleet::config_ms || !served.book.find(made.request))
                continue;
            if (made.path == old_route.path)
                ++route_used;
            else if (made.path == old_key.path)
                ++key_used;
            else
                continue;
            last = std::max(last, after);
        }
        say("requests that entry 4 had run later than %.0f ms after the ack: %d on the removed route, %d with the "
            "removed "
            "key, the last one sent after %.0f ms",
            fleet::config_ms, route_used, key_used, last);
        return route_used + key_used > 0 ? verdict::broken : verdict::held;
    });
}
