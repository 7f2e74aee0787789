#pragma once

#include "http.hpp"

#include <condition_variable>
#include <map>
#include <set>

namespace review {

inline std::string encode_base64(std::string const& bytes) {
    static constexpr char letters[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        unsigned group = 0;
        std::size_t const count = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t offset = 0; offset < 3; ++offset)
            group = (group << 8) | (offset < count ? static_cast<unsigned char>(bytes[at + offset]) : 0U);
        for (std::size_t letter = 0; letter < 4; ++letter)
            text += letter <= count ? letters[(group >> (18 - 6 * letter)) & 63] : '=';
    }
    return text;
}

/// How the store treats one caller, which is known by the port that it uses.
enum class store_access { serving, silent, busy };

/// The platform's metadata store: reads, listings and watches. The operator and the runners write by function calls.
class store {
public:
    /// Opens a port of the store for one machine.
    address open_port(std::string const& ip) {
        auto gate = std::make_unique<port>();
        auto* const opened = gate.get();
        opened->listening = std::make_unique<listener>(
            address{ip, 0}, [this, opened](channel_pointer caller) { serve(*opened, std::move(caller)); });
        auto const where = opened->listening->where();
        ports_[where.text()] = std::move(gate);
        return where;
    }

    std::uint64_t put(std::string const& key, std::string const& value) { return change(key, value, false); }
    std::uint64_t remove(std::string const& key) { return change(key, {}, true); }

    /// A silent port answers nothing and keeps its connections, as behind a partition. A busy one answers 503 at once.
    void set_access(address const& where, store_access access) {
        auto& gate = *ports_.at(where.text());
        bool was_silent = false;
        {
            std::scoped_lock const lock{mutex_};
            was_silent = gate.access == store_access::silent;
            gate.access = access;
        }
        changed_.notify_all();
        // What was sent on silent connections is lost.
        if (was_silent)
            gate.listening->close_channels();
    }
    /// Cuts the watches that wait now.
    void cut_watches() {
        std::scoped_lock const lock{mutex_};
        ++cuts_;
        changed_.notify_all();
    }

private:
    struct port {
        std::unique_ptr<listener> listening;
        store_access access{store_access::serving};
    };
    struct item {
        std::string value;
        std::uint64_t revision{0};
        std::uint64_t created{0};
    };
    struct event {
        std::string key;
        std::string value;
        std::uint64_t revision{0};
        std::uint64_t created{0};
        bool tombstone{false};
    };

    std::uint64_t change(std::string const& key, std::string const& value, bool tombstone) {
        std::uint64_t revision = 0;
        {
            std::scoped_lock const lock{mutex_};
            revision = ++revision_;
            auto& kept = items_[key];
            if (kept.created == 0)
                kept.created = revision;
            kept.value = value;
            kept.revision = revision;
            history_.push_back({key, value, revision, kept.created, tombstone});
            if (tombstone)
                items_.erase(key);
        }
        changed_.notify_all();
        log("store %s %s revision %llu", tombstone ? "removes" : "writes", key.c_str(),
            static_cast<unsigned long long>(revision));
        return revision;
    }

    static std::string query(std::string const& target, std::string const& name) {
        for (auto at = target.find(name + "="); at != std::string::npos; at = target.find(name + "=", at + 1)) {
            if (at > 0 && (target[at - 1] == '?' || target[at - 1] == '&')) {
                auto const begin = at + name.size() + 1;
                return target.substr(begin, target.find('&', begin) - begin);
            }
        }
        return {};
    }

    static std::string describe(std::string const& key, std::string const& value, std::uint64_t revision,
                                std::uint64_t created) {
        return "{\"key\":\"" + key + "\",\"value\":\"" + encode_base64(value) +
               "\",\"revision\":" + std::to_string(revision) + ",\"createRev\":" + std::to_string(created) +
               ",\"lease\":0}";
    }

    std::string list(std::string const& prefix, std::string const& after) {
        std::string items;
        for (auto const& [key, kept] : items_) {
            if (!key.starts_with(prefix) || key <= after)
                continue;
            items += (items.empty() ? "" : ",") + describe(key, kept.value, kept.revision, kept.created);
        }
        return "{\"items\":[" + items + "],\"truncated\":false,\"asOf\":" + std::to_string(revision_) + "}";
    }

    std::string events(std::string const& prefix, std::uint64_t after) {
        std::string found;
        for (auto const& item : history_) {
            if (item.revision <= after || !item.key.starts_with(prefix))
                continue;
            found += found.empty() ? "" : ",";
            found += item.tombstone ? "{\"key\":\"" + item.key + "\",\"revision\":" + std::to_string(item.revision) +
                                          ",\"tombstone\":true}"
                                    : describe(item.key, item.value, item.revision, item.created);
        }
        return found;
    }

    void serve(port& gate, channel_pointer caller) {
        while (auto const received = caller->read_message(now_ms() + 3.6e6, false)) {
            auto const target = received->target();
            std::string body;
            bool cut = false;
            bool busy = false;
            {
                std::unique_lock lock{mutex_};
                if (target.starts_with("/-/kv-watch")) {
                    auto const prefix = query(target, "prefix");
                    auto const after = std::strtoull(query(target, "after").c_str(), nullptr, 10);
                    auto const wait = std::strtod(query(target, "waitMs").c_str(), nullptr);
                    auto const until = clock::now() + std::chrono::duration_cast<clock::duration>(
                                                          std::chrono::duration<double, std::milli>(wait));
                    auto const cuts = cuts_;
                    changed_.wait_until(lock, until, [&] {
                        return gate.access != store_access::serving || cuts != cuts_ || !events(prefix, after).empty();
                    });
                    cut = cuts != cuts_;
                    body = "{\"events\":[" + events(prefix, after) + "],\"asOf\":" + std::to_string(revision_) + "}";
                } else {
                    body = list(query(target, "prefix"), query(target, "after"));
                }
                busy = gate.access == store_access::busy;
                if (gate.access == store_access::silent) {
                    lock.unlock();
                    // Nothing answers on this connection any more.
                    while (!caller->peer_closed())
                        sleep_ms(20);
                    return;
                }
            }
            if (cut) {
                log("store cuts a watch at %s", gate.listening->where().text().c_str());
                caller->shut_down();
                return;
            }
            auto const answer = busy ? format_answer("503 Service Unavailable", {}, "")
                                     : format_answer("200 OK", {{"Content-Type", "application/json"}}, body);
            if (!caller->send(answer))
                return;
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::unique_ptr<port>> ports_;
    std::map<std::string, item> items_;
    std::vector<event> history_;
    std::uint64_t revision_{1};
    std::uint64_t cuts_{0};
};

} // namespace review
