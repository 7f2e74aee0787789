#include "entry/limit_controller.h"

#include "limits/home_entry.h"
#include "log/logger.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenledge::entry {

namespace asio = boost::asio;

namespace {

constexpr base::milliseconds renewal_interval{100};
// Well above the time between asks, so that a link is not opened and closed in turns.
constexpr base::seconds link_idle_time{60};
constexpr base::seconds log_interval{10};

wire::schema::CreditDemandT demand_of(limits::credit_request const& ask) {
    wire::schema::CreditDemandT demand;
    demand.organisation = ask.organisation;
    demand.sequence = ask.sequence;
    demand.requests = static_cast<float>(ask.demand_per_second.requests);
    demand.tokens = static_cast<float>(ask.demand_per_second.tokens);
    demand.wanted_requests = static_cast<float>(ask.requested.requests);
    demand.wanted_tokens = static_cast<float>(ask.requested.tokens);
    demand.concurrent = ask.concurrent;
    demand.held = ask.held_slots;
    return demand;
}

limits::credit_request request_of(wire::schema::CreditDemandT const& demand, std::string const& entry) {
    return {demand.organisation,
            entry,
            demand.sequence,
            {demand.requests, demand.tokens},
            {demand.wanted_requests, demand.wanted_tokens},
            demand.concurrent,
            demand.held};
}

} // namespace

limit_controller::limit_controller(process::runtime& daemon, guarded_limits& table)
    : daemon_(daemon)
    , table_(table)
    , renewal_timer_(asio::make_strand(daemon.context())) {}

void limit_controller::start() {
    daemon_.hub().handle<wire::schema::CreditRequestT>(
        [this](link::connection& source, wire::schema::CreditRequestT const& message) { on_request(source, message); });
    daemon_.hub().handle<wire::schema::CreditGrantT>(
        [this](link::connection&, wire::schema::CreditGrantT const& message) { on_grant(message); });
    asio::co_spawn(renewal_timer_.get_executor(), renew_credit(), asio::detached);
}

void limit_controller::set_catalogue(catalogue::catalogue_pointer const& published) {
    auto const now = base::clock::now();
    table_.with([&](limit_state& state) {
        if (!state.limiter) {
            state.limiter.emplace(daemon_.settings().name, published);
            state.issuer.emplace(daemon_.settings().name, published, now);
            return;
        }
        state.limiter->set_catalogue(published);
        state.issuer->set_catalogue(published, now);
    });
    std::scoped_lock const lock{mutex_};
    catalogue_ = published;
}

limits::limit_decision limit_controller::decide(std::string const& organisation, limits::offer_kind offer) {
    auto const now = base::clock::now();
    auto decision = table_.with([&](limit_state& state) { return state.limiter->admit(organisation, offer, now); });
    if (decision.request)
        send_asks({*decision.request}, now);
    return decision;
}

asio::awaitable<base::result<limit_ticket_pointer>> limit_controller::admit(std::string organisation,
                                                                            std::optional<base::time_point> deadline,
                                                                            asio::any_io_executor executor) {
    auto const give_up_at = base::clock::now() + longest_wait;
    auto offer = limits::offer_kind::first;
    waiting_pointer const waiting{new waiting_request{executor}};
    limits::limit_decision decision;
    while (true) {
        {
            // Registered before the decision, so that a grant that arrives before the wait begins ends it.
            std::scoped_lock const lock{mutex_};
            waiting_.emplace(organisation, waiting);
        }
        waiting->timer.expires_at(give_up_at);
        decision = decide(organisation, std::exchange(offer, limits::offer_kind::retry));
        auto const now = base::clock::now();
        bool const waits = decision.action == limits::limit_action::wait && now < give_up_at;
        if (waits) {
            waiting->timer.expires_at(std::min(give_up_at, now + decision.retry_after));
            co_await waiting->timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        {
            std::scoped_lock const lock{mutex_};
            auto const [first, last] = waiting_.equal_range(organisation);
            auto const own = std::find_if(first, last, [&](auto const& item) { return item.second == waiting; });
            if (own != last)
                waiting_.erase(own);
        }
        if (!waits)
            break;
        if (deadline && base::clock::now() >= *deadline)
            co_return base::make_error(base::error_kind::deadline_exceeded, "the deadline passed before the start");
    }
    if (decision.action == limits::limit_action::admit)
        co_return limit_ticket_pointer{new limit_ticket{*this, std::move(organisation)}};
    bool log_it = false;
    {
        std::scoped_lock const lock{mutex_};
        auto& logged = logged_at_[organisation];
        log_it = base::clock::now() - logged >= log_interval;
        if (log_it)
            logged = base::clock::now();
    }
    if (log_it)
        log::write(log::event_kind::organisation_held_back, {{"organisation", organisation}});
    auto const later = std::max<base::duration>(decision.retry_after, limits::request_interval);
    co_return base::make_error(base::error_kind::organisation_limit, "the organisation is at its limit",
                               std::chrono::ceil<base::milliseconds>(later));
}

void limit_controller::charge_tokens(std::string const& organisation, std::uint64_t count) {
    table_.with([&](limit_state& state) { state.limiter->on_tokens(organisation, count, base::clock::now()); });
}

void limit_controller::release(std::string const& organisation) {
    table_.with([&](limit_state& state) { state.limiter->on_end(organisation, base::clock::now()); });
}

asio::awaitable<void> limit_controller::renew_credit() {
    while (true) {
        renewal_timer_.expires_after(renewal_interval);
        auto const [code] = co_await renewal_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
        if (code)
            co_return;
        auto const now = base::clock::now();
        auto const asks = table_.with([&](limit_state& state) {
            return state.limiter ? state.limiter->poll(now) : std::vector<limits::credit_request>{};
        });
        send_asks(asks, now);
        drop_idle_links(now);
    }
}

void limit_controller::send_asks(std::vector<limits::credit_request> const& asks, base::time_point now) {
    if (asks.empty())
        return;
    auto const published = [this] {
        std::scoped_lock const lock{mutex_};
        return catalogue_;
    }();
    std::map<std::string, std::vector<limits::credit_request>> by_home;
    for (auto const& ask : asks) {
        if (auto const* organisation = published->find_organisation(ask.organisation))
            by_home[std::string{limits::home_entry(*published, *organisation)}].push_back(ask);
    }
    for (auto const& [home, batch] : by_home)
        ask_home(home, batch, now);
}

void limit_controller::ask_home(std::string const& home, std::span<limits::credit_request const> asks,
                                base::time_point now) {
    if (home == daemon_.settings().name) {
        std::vector<limits::credit_grant> grants;
        table_.with([&](limit_state& state) {
            for (auto const& ask : asks) {
                if (auto granted = state.issuer->request(ask, now))
                    grants.push_back(std::move(granted).value());
            }
        });
        take_grants(grants, now);
        return;
    }
    auto const connection = connect_home(home, now);
    if (!connection)
        return; // Unanswered asks lead to the fall-back share.
    wire::schema::CreditRequestT message;
    message.sequence = asks.front().sequence;
    for (auto const& ask : asks)
        message.demands.push_back(std::make_unique<wire::schema::CreditDemandT>(demand_of(ask)));
    connection->send(message);
}

link::connection_pointer limit_controller::connect_home(std::string const& home, base::time_point now) {
    std::string address;
    {
        std::scoped_lock const lock{mutex_};
        auto const* published = catalogue_->find_entry(home);
        if (published == nullptr)
            return nullptr;
        address = published->peer_address;
        home_links_[home] = now;
    }
    daemon_.hub().connect(home, address);
    return daemon_.hub().find_connection(home);
}

void limit_controller::drop_idle_links(base::time_point now) {
    std::vector<std::string> idle;
    {
        std::scoped_lock const lock{mutex_};
        std::erase_if(home_links_, [&](auto const& item) {
            if (now - item.second < link_idle_time)
                return false;
            idle.push_back(item.first);
            return true;
        });
        std::erase_if(logged_at_, [&](auto const& item) { return now - item.second >= log_interval; });
    }
    for (auto const& home : idle)
        daemon_.hub().disconnect(home);
}

void limit_controller::on_request(link::connection& source, wire::schema::CreditRequestT const& message) {
    auto const now = base::clock::now();
    wire::schema::CreditGrantT answer;
    answer.sequence = message.sequence;
    answer.lease_ms = static_cast<std::uint32_t>(limits::credit_lease.count());
    table_.with([&](limit_state& state) {
        for (auto const& demand : message.demands) {
            // An organisation without a grant uses the fall-back share at the requesting entry.
            auto const granted = state.issuer->request(request_of(*demand, source.peer().process), now);
            if (!granted)
                continue;
            auto item = std::make_unique<wire::schema::CreditDemandT>();
            item->organisation = granted.value().organisation;
            item->sequence = granted.value().sequence;
            item->requests = static_cast<float>(granted.value().credit.requests);
            item->tokens = static_cast<float>(granted.value().credit.tokens);
            item->concurrent = granted.value().concurrent;
            answer.grants.push_back(std::move(item));
        }
    });
    source.send(answer);
}

void limit_controller::on_grant(wire::schema::CreditGrantT const& message) {
    std::vector<limits::credit_grant> grants;
    grants.reserve(message.grants.size());
    for (auto const& item : message.grants) {
        grants.push_back({item->organisation,
                          item->sequence,
                          {item->requests, item->tokens},
                          item->concurrent,
                          base::milliseconds{message.lease_ms}});
    }
    take_grants(grants, base::clock::now());
}

void limit_controller::take_grants(std::span<limits::credit_grant const> grants, base::time_point now) {
    table_.with([&](limit_state& state) {
        for (auto const& grant : grants)
            state.limiter->on_grant(grant, now);
    });
    for (auto const& grant : grants)
        wake(grant.organisation);
}

void limit_controller::wake(std::string const& organisation) {
    std::scoped_lock const lock{mutex_};
    auto const [first, last] = waiting_.equal_range(organisation);
    for (auto place = first; place != last; ++place) {
        auto const waiting = place->second;
        asio::post(waiting->timer.get_executor(), [waiting] { waiting->timer.cancel(); });
    }
}

boost::json::object limit_controller::state() const {
    boost::json::object dump;
    table_.with([&](limit_state const& state) {
        dump["organisations"] = state.limiter ? state.limiter->state_count() : 0;
        dump["holders"] = state.issuer ? state.issuer->holder_count() : 0;
    });
    std::scoped_lock const lock{mutex_};
    boost::json::array homes;
    for (auto const& [home, asked_at] : home_links_)
        homes.emplace_back(home);
    dump["home_links"] = std::move(homes);
    dump["waiting"] = waiting_.size();
    return dump;
}

} // namespace cyclamenledge::entry
