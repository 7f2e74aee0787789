#pragma once

#include "store.hpp"

#include <atomic>

namespace review {

/// What a runner has done with one request.
struct run {
    std::string request;
    std::string runner;
    double at{0};
    /// Milliseconds at which the answer was sent completely. Negative while there is none.
    double answered_at{-1};
    /// Milliseconds at which the caller of the runner closed before the answer. Negative if it did not.
    double abandoned_at{-1};
};

/// What the runners of all services have run, in order.
class run_book {
public:
    std::size_t begin(std::string const& request, std::string const& runner) {
        std::scoped_lock const lock{mutex_};
        runs_.push_back({request, runner, now_ms()});
        log("runner %s runs %s", runner.c_str(), request.c_str());
        return runs_.size() - 1;
    }
    void set_answered(std::size_t number) {
        std::scoped_lock const lock{mutex_};
        runs_[number].answered_at = now_ms();
    }
    void set_abandoned(std::size_t number) {
        std::scoped_lock const lock{mutex_};
        runs_[number].abandoned_at = now_ms();
        log("runner %s sees that the caller of %s has closed", runs_[number].runner.c_str(),
            runs_[number].request.c_str());
    }
    std::vector<run> all() const {
        std::scoped_lock const lock{mutex_};
        return runs_;
    }
    std::optional<run> find(std::string const& request) const {
        std::scoped_lock const lock{mutex_};
        for (auto const& item : runs_) {
            if (item.request == request)
                return item;
        }
        return std::nullopt;
    }

private:
    mutable std::mutex mutex_;
    std::vector<run> runs_;
};

/// One runner of a service, as the pages describe it: it checks X-Expect-Instance, echoes X-Request-Id, stamps its
/// answers and stops work when its channel closes.
class runner {
public:
    struct place {
        std::string id;
        std::string service;
        std::string zone;
        address where;
        int slots{6};
        double work_ms{30};
        /// A model runner: it reports its state and answers in streams.
        bool model{false};
        int events{6};
        double event_ms{30};
    };
    /// Replaces the answer to a request that has run. Returns false to answer as usual.
    using answer_function = std::function<bool(runner&, message const&, channel&)>;

    runner(place where, store& registry, run_book& book)
        : place_(std::move(where))
        , registry_(registry)
        , book_(book)
        , born_(
              std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
                  .count())
        , listening_(place_.where, [this](channel_pointer caller) { serve(std::move(caller)); }) {
        place_.where = listening_.where();
    }

    place const& where() const { return place_; }
    void set_answer(answer_function answer) {
        std::scoped_lock const lock{mutex_};
        answer_ = std::move(answer);
    }
    std::string entry(std::string const& state, int cold_left_ms = 0) const {
        return "{\"service\":\"" + place_.service + "\",\"address\":\"" + place_.where.text() + "\",\"zone\":\"" +
               place_.zone + "\",\"version\":\"v1\",\"slots\":" + std::to_string(place_.slots) + ",\"state\":\"" +
               state + "\",\"coldLeftMs\":" + std::to_string(cold_left_ms) + ",\"seq\":" + std::to_string(sequence_) +
               ",\"born\":" + std::to_string(born_) + "}";
    }
    std::uint64_t announce(std::string const& state = "ready", int cold_left_ms = 0) {
        ++sequence_;
        return registry_.put("servers/" + place_.id, entry(state, cold_left_ms));
    }
    std::uint64_t withdraw() { return registry_.remove("servers/" + place_.id); }
    /// Reports that it leaves, in the store and in its state.
    void leave() {
        leaving_ = true;
        announce("draining");
        log("runner %s reports draining", place_.id.c_str());
    }
    /// Ends at once, with all its channels. Nothing listens at its address any more.
    void end() {
        log("runner %s ends", place_.id.c_str());
        listening_.stop();
    }

    headers usual_headers(message const& received) const {
        auto const request = received.header("X-Request-Id");
        headers fields{{"X-Request-Id", request}, {"X-Response-Stamp", "stamp." + request}};
        fields.emplace_back("X-Server-Load", std::to_string(running_) + ",0," + std::to_string(place_.slots));
        return fields;
    }

private:
    void serve(channel_pointer caller) {
        while (auto const received = caller->read_message(now_ms() + 3.6e6, false)) {
            if (!answer(*received, *caller))
                return;
        }
    }

    bool answer(message const& received, channel& caller) {
        if (received.target() == "/-/report")
            return caller.send(format_answer("200 OK", {{"Content-Type", "application/json"}}, report()));
        if (received.target() == "/healthz")
            return caller.send(format_answer("200 OK", {{"X-Instance-Id", place_.id}}, ""));
        auto const request = received.header("X-Request-Id");
        auto const expected = received.header("X-Expect-Instance");
        if (!expected.empty() && expected != place_.id) {
            log("runner %s rejects %s: 421", place_.id.c_str(), request.c_str());
            return caller.send(format_answer("421 Misdirected Request",
                                             {{"X-Request-Id", request}, {"X-Instance-Id", place_.id}}, ""));
        }
        log("runner %s receives %s: %s", place_.id.c_str(), request.c_str(), received.first_line.c_str());
        auto const number = book_.begin(request, place_.id);
        ++running_;
        bool const sound = run_request(received, caller, number);
        --running_;
        {
            std::scoped_lock const lock{mutex_};
            generating_.erase(request);
        }
        return sound;
    }

    bool run_request(message const& received, channel& caller, std::size_t number) {
        answer_function replaced;
        {
            std::scoped_lock const lock{mutex_};
            replaced = answer_;
        }
        if (replaced && replaced(*this, received, caller))
            return false;
        if (place_.model)
            return stream(received, caller, number);
        if (!work(caller, number, place_.work_ms))
            return false;
        auto const body = received.header("X-Request-Id") + " ran at " + place_.id + "\n" + std::string(760, 'x');
        bool const sent = caller.send(format_answer("200 OK", usual_headers(received), body));
        if (sent)
            book_.set_answered(number);
        return sent;
    }

    /// False if the caller closed meanwhile.
    bool work(channel& caller, std::size_t number, double length) {
        for (auto const until = now_ms() + length; now_ms() < until;) {
            sleep_ms(std::min(5.0, until - now_ms()));
            if (!caller.peer_closed())
                continue;
            book_.set_abandoned(number);
            return false;
        }
        return true;
    }

    bool stream(message const& received, channel& caller, std::size_t number) {
        auto const request = received.header("X-Request-Id");
        auto fields = usual_headers(received);
        fields.emplace_back("Content-Type", "text/event-stream");
        fields.emplace_back("Transfer-Encoding", "chunked");
        auto const first = std::strtol(received.header("Last-Event-Id").c_str(), nullptr, 10) + 1;
        if (!work(caller, number, 100) || !caller.send(format_answer("200 OK", fields, "", false)))
            return false;
        for (long event = first; event <= place_.events; ++event) {
            auto const text =
                "id: " + std::to_string(event) + "\ndata: " + request + ":" + std::to_string(event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            {
                std::scoped_lock const lock{mutex_};
                generating_[request] = event;
            }
            if (!caller.send(size + text + "\r\n") || !work(caller, number, place_.event_ms))
                return false;
        }
        if (!caller.send("0\r\n\r\n"))
            return false;
        book_.set_answered(number);
        return true;
    }

    std::string report() {
        std::string runs;
        {
            std::scoped_lock const lock{mutex_};
            for (auto const& [request, events] : generating_)
                runs += (runs.empty() ? "[\"" : ",[\"") + request + "\",1500," + std::to_string(events) + ",5]";
        }
        return "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
               "\"seq\":0,\"queued\":0,\"active\":" +
               std::to_string(running_) + ",\"kvUsed\":" + std::to_string(1500 * running_) +
               ",\"kvTotal\":34206,\"handles\":0,\"state\":\"" + std::string{leaving_ ? "draining" : "ready"} +
               "\",\"runs\":[" + runs + "],\"born\":" + std::to_string(born_) + "}";
    }

    place place_;
    store& registry_;
    run_book& book_;
    std::int64_t born_;
    std::atomic<int> running_{0};
    std::atomic<bool> leaving_{false};
    int sequence_{0};
    std::mutex mutex_;
    answer_function answer_;
    /// Events made for the requests whose streams have begun.
    std::map<std::string, long> generating_;
    listener listening_;
};

} // namespace review
