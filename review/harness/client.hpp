#pragma once

#include "fleet.hpp"

namespace review {

/// What became of one request.
struct call {
    std::string request;
    std::string path;
    int entry{0};
    double sent_at{0};
    /// Whether an earlier request had been answered on the same connection.
    bool kept_channel{false};
    /// Empty if the connection ended without a whole answer.
    std::string status;
    bool timed_out{false};
    double ended_at{0};
    message answer;
};

/// All requests of the clients and what became of them.
class call_book {
public:
    void add(call ended) {
        std::scoped_lock const lock{mutex_};
        log("client gets %s for %s of entry %d (sent at %.1f%s)",
            ended.status.empty() ? (ended.timed_out ? "nothing in time" : "a closed channel") : ended.status.c_str(),
            ended.request.c_str(), ended.entry + 1, ended.sent_at, ended.kept_channel ? ", kept channel" : "");
        calls_.push_back(std::move(ended));
    }
    std::vector<call> all() const {
        std::scoped_lock const lock{mutex_};
        return calls_;
    }

private:
    mutable std::mutex mutex_;
    std::vector<call> calls_;
};

struct request_text {
    std::string method{"GET"};
    std::string path;
    int deadline_ms{2500};
    std::string body;
    headers more;
    std::string key{api_key};
};

inline std::string next_request_id() {
    static std::atomic<unsigned> number{0};
    char text[32];
    std::snprintf(text, sizeof text, "%08x%08x", static_cast<unsigned>(::getpid()), ++number);
    return text;
}

inline std::string format_request(request_text const& wanted, std::string const& id) {
    std::string text = wanted.method + " " + wanted.path + " HTTP/1.1\r\nHost: " + host_name +
                       "\r\nX-Request-Id: " + id + "\r\nX-Deadline-Ms: " + std::to_string(wanted.deadline_ms) +
                       "\r\nAuthorization: Bearer " + wanted.key + "\r\n";
    for (auto const& [name, value] : wanted.more)
        text += name + ": " + value + "\r\n";
    if (!wanted.body.empty() || wanted.method == "POST")
        text += "Content-Length: " + std::to_string(wanted.body.size()) + "\r\n";
    return text + "\r\n" + wanted.body;
}

/// A client with one connection that it keeps for many requests.
class client {
public:
    client(fleet const& served, int entry, call_book& book)
        : served_(served)
        , entry_(entry)
        , book_(book) {}

    call send(request_text const& wanted) {
        call made;
        made.request = next_request_id();
        made.path = wanted.path;
        made.entry = entry_;
        if (!connection_) {
            connection_ = channel::connect(served_.entry_address(entry_));
            answered_ = 0;
        }
        made.kept_channel = answered_ > 0;
        made.sent_at = now_ms();
        log("client sends %s %s %s to entry %d", made.request.c_str(), wanted.method.c_str(), wanted.path.c_str(),
            entry_ + 1);
        bool const sent = connection_ && connection_->send(format_request(wanted, made.request));
        auto const until = now_ms() + wanted.deadline_ms + 500;
        auto answer = sent ? connection_->read_message(until, true, wanted.method != "HEAD") : std::nullopt;
        made.ended_at = now_ms();
        if (answer) {
            made.status = answer->status();
            made.answer = std::move(*answer);
            ++answered_;
            if (equal_name(made.answer.header("Connection"), "close"))
                connection_.reset();
        } else {
            made.timed_out = connection_ && connection_->timed_out();
            connection_.reset();
        }
        book_.add(made);
        return made;
    }

private:
    fleet const& served_;
    int entry_;
    call_book& book_;
    std::unique_ptr<channel> connection_;
    int answered_{0};
};

/// Clients that send one request after the other until they are stopped.
class crowd {
public:
    crowd(fleet const& served, call_book& book)
        : served_(served)
        , book_(book) {}
    ~crowd() { stop(); }

    void add(int count, std::vector<int> entries, request_text wanted, double pause_ms) {
        for (int number = 0; number < count; ++number) {
            auto const entry = entries[static_cast<std::size_t>(number) % entries.size()];
            threads_.emplace_back([this, entry, wanted, pause_ms, number] {
                client one{served_, entry, book_};
                sleep_ms(pause_ms * number / 7);
                while (!stopped_) {
                    one.send(wanted);
                    sleep_ms(pause_ms);
                }
            });
        }
    }
    void stop() {
        stopped_ = true;
        for (auto& item : threads_)
            item.join();
        threads_.clear();
    }

private:
    fleet const& served_;
    call_book& book_;
    std::atomic<bool> stopped_{false};
    std::vector<std::thread> threads_;
};

/// The three results of a case.
enum class verdict : int { held = 0, broken = 1, not_run = 2 };

/// Whether the case plays its disruption, as the last argument of its program says.
inline bool plays_trouble = true;
inline bool with_trouble() {
    return plays_trouble;
}

/// Runs a case. The arguments are the repository, the folder of the case, and 0 to leave out the disruption, else 1.
inline int run_case(int argument_count, char** arguments, std::function<verdict(fleet&)> const& play) {
    if (argument_count != 4) {
        std::fprintf(stderr, "usage: %s REPOSITORY FOLDER 0|1\n", arguments[0]);
        return static_cast<int>(verdict::not_run);
    }
    plays_trouble = std::string_view{arguments[3]} != "0";
    std::signal(SIGPIPE, SIG_IGN);
    record::instance().open(std::string{arguments[2]} + "/record.txt");
    say("%s the disruption", with_trouble() ? "with" : "without");
    auto result = verdict::not_run;
    {
        auto served = std::make_unique<fleet>(arguments[1]);
        result = play(*served);
        served->entries.clear();
        served->agents.clear();
        if (std::getenv("REVIEW_KEEP") == nullptr)
            std::filesystem::remove_all(served->folder());
        else
            say("kept %s", served->folder().c_str());
        // Threads of the stand-ins may still use it.
        std::ignore = served.release();
    }
    say("result: %s", result == verdict::held     ? "the rule held"
                      : result == verdict::broken ? "the rule was broken"
                                                  : "not run");
    record::instance().flush();
    std::_Exit(static_cast<int>(result));
}

} // namespace review
