#pragma once

#include "base/digest.h"
#include "base/random.h"
#include "catalogue/catalogue_builder.h"
#include "limits/credit_issuer.h"
#include "limits/home_entry.h"
#include "limits/organisation_limiter.h"

#include <cppunit/TestAssert.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::tests {

using namespace std::chrono_literals;

inline base::time_point const start{1h};

inline catalogue::organisation organisation(std::string name, catalogue::organisation_limits limits,
                                            std::string head_office = "", double stretch = 0) {
    catalogue::organisation item;
    item.bearer_key_sha256 = base::sha256_hex(name);
    item.name = std::move(name);
    item.owner = "owner";
    item.service_class = "class";
    item.services = {"service"};
    item.limits = limits;
    item.head_office = std::move(head_office);
    item.stretch = stretch;
    return item;
}

/// A catalogue that the validator accepts, with one plain service.
inline catalogue::catalogue_pointer publish(std::vector<catalogue::organisation> const& organisations,
                                            std::size_t entries, std::string_view without = "") {
    catalogue::catalogue_builder builder;
    builder.add(catalogue::failure_domain{"domain", "region"});
    catalogue::service service;
    service.name = "service";
    service.owner = "owner";
    service.kind = catalogue::service_kind::plain;
    builder.add(service);
    catalogue::target target;
    target.name = "target";
    target.service = "service";
    target.failure_domain = "domain";
    target.vm = "vm-target";
    target.agent_address = "127.5.9.1:30000";
    builder.add(target);
    catalogue::service_class service_class;
    service_class.name = "class";
    service_class.owner = "owner";
    builder.add(service_class);
    for (auto const& item : organisations)
        builder.add(item);
    for (std::size_t i = 0; i < entries; ++i) {
        catalogue::entry item;
        item.name = "entry-" + std::to_string(i);
        item.failure_domain = "domain";
        item.vm = "vm-" + item.name;
        item.peer_address = "127.5.9.2:" + std::to_string(30000 + i);
        if (item.name != without)
            builder.add(item);
    }
    auto built = builder.build();
    CPPUNIT_ASSERT_MESSAGE(built ? "" : built.error().message, built.has_value());
    return built.value();
}

/// Entries with both sides of the limits, and a network that delays, loses and cuts messages. Time moves in 10 ms.
class credit_world {
public:
    credit_world(catalogue::catalogue_pointer published, std::uint64_t seed,
                 std::optional<limits::mechanism> left_out = std::nullopt)
        : random(seed)
        , published_(std::move(published)) {
        for (auto const& item : published_->entries()) {
            names_.push_back(item.name);
            views_.push_back(published_);
            limiters.emplace_back(item.name, published_);
            issuers.emplace_back(item.name, published_, start - 10s);
            if (left_out) {
                limiters.back().leave_out(*left_out);
                issuers.back().leave_out(*left_out);
            }
        }
        cut.resize(names_.size());
    }

    void step() {
        now += 10ms;
        for (std::size_t i = 0; i < names_.size(); ++i) {
            for (auto const& ask : limiters[i].poll(now))
                send(i, ask);
        }
        auto due = std::exchange(messages_, {});
        for (auto& each : due) {
            if (each.at <= now)
                each.deliver();
            else
                messages_.push_back(std::move(each));
        }
        for (auto end = ends_.begin(); end != ends_.end() && end->first <= now; end = ends_.erase(end)) {
            limiters[end->second.first].on_end(end->second.second, now);
            --running;
        }
    }

    /// Offers one request, which runs for the given time when it is admitted.
    bool offer(std::size_t entry, std::string const& name, base::duration length = 0ms) {
        auto const decision = limiters[entry].admit(name, limits::offer_kind::first, now);
        if (decision.ask)
            send(entry, *decision.ask);
        if (decision.action != limits::limit_action::admit)
            return false;
        ++running;
        ends_.emplace(now + length, std::make_pair(entry, name));
        return true;
    }

    void apply(std::size_t entry, catalogue::catalogue_pointer published) {
        views_[entry] = published;
        limiters[entry].set_catalogue(published);
        issuers[entry].set_catalogue(published, now);
    }

    base::time_point now{start};
    base::random_source random;
    double loss{0};
    /// Entries that reach only each other, apart from the rest.
    std::vector<bool> cut;
    std::int64_t running{0};
    std::deque<limits::organisation_limiter> limiters;
    std::deque<limits::credit_issuer> issuers;

private:
    struct message {
        base::time_point at;
        std::function<void()> deliver;
    };

    void post(std::size_t from, std::size_t to, std::function<void()> deliver) {
        if (cut[from] != cut[to] || random.unit() < loss)
            return;
        auto const copies = random.below(20) == 0 ? 2 : 1;
        for (int i = 0; i < copies; ++i)
            messages_.push_back({now + base::milliseconds{1 + random.below(i == 0 ? 60 : 3000)}, deliver});
    }

    void send(std::size_t from, limits::credit_request const& ask) {
        auto const home = limits::home_entry(*views_[from], *views_[from]->find_organisation(ask.organisation));
        auto const to = static_cast<std::size_t>(std::find(names_.begin(), names_.end(), home) - names_.begin());
        post(from, to, [this, from, to, ask] {
            auto grant = issuers[to].request(ask, now);
            if (grant)
                post(to, from, [this, from, granted = grant.value()] { limiters[from].on_grant(granted, now); });
        });
    }

    catalogue::catalogue_pointer published_;
    std::vector<std::string> names_;
    std::vector<catalogue::catalogue_pointer> views_;
    std::vector<message> messages_;
    std::multimap<base::time_point, std::pair<std::size_t, std::string>> ends_;
};

} // namespace cyclamenledge::tests
