#include "forwarding_entry/permit_controller.h"

#include "forwarding/permit_issuer_choice.h"
#include "log/logger.h"
#include "permit_messages/limit_message.h"

#include <algorithm>
#include <memory>
#include <tuple>
#include <vector>

namespace cyclamenledge::forwarding_entry {

permit_controller::permit_controller(boost::asio::io_context& context, link::hub& hub, blackboard& board,
                                     agent_directory& agents, metrics::registry& metrics)
    : board_(board)
    , agents_(agents)
    , metrics_(metrics)
    , random_(base::random_seed())
    , timer_(context) {
    hub.handle<wire::schema::PermitAnswerT>(
        [this](link::connection& issuer, wire::schema::PermitAnswerT const& answer) {
            apply_answer(answer, issuer.peer().process);
        });
    hub.handle<wire::schema::LimitObservationsT>(
        [this](link::connection& issuer, wire::schema::LimitObservationsT const& message) {
            for (auto const& observation : message.observations)
                apply_observation(*observation, issuer.peer().process);
        });
}

void permit_controller::on_answer(std::string const& target, std::string const& request,
                                  platform::answer_metadata const& answer) {
    // Another target answers at the address, the answer belongs to another request, or its limit cannot be read.
    if (answer.other_target || answer.request_id != request || answer.request_limit_malformed)
        return;
    if (!board_.fleet.observe_limit(target, answer.request_limit, base::clock::now()))
        return;
    log::write(log::event_kind::target_limit_changed,
               {{"target", target}, {"request", request}, {"limit", std::to_string(answer.request_limit.value_or(0))}});
    tell_issuer(target);
    on_change_();
}

link::connection_pointer permit_controller::find_issuer(std::string const& target) const {
    auto const engines = board_.fleet.engine_addresses(base::clock::now());
    return agents_.find(std::string{forwarding::choose_permit_issuer(target, engines)});
}

void permit_controller::tell_issuer(std::string const& target) {
    auto const* view = board_.fleet.find(target);
    auto const issuer = find_issuer(target);
    if (view == nullptr || !issuer)
        return;
    wire::schema::LimitObservationsT message;
    message.observations.push_back(std::make_unique<wire::schema::LimitObservationT>(
        permit_messages::encode_limit({target, view->record.started_at}, view->limit.latest(), base::clock::now())));
    issuer->send(message);
}

bool permit_controller::request(std::string const& target, std::uint32_t wanted, base::milliseconds within) {
    auto const now = base::clock::now();
    auto const* view = board_.fleet.find(target);
    auto* permits = board_.fleet.find_permits(target);
    if (permits == nullptr || !permits->may_ask(now))
        return false;
    auto const issuer = find_issuer(target);
    if (!issuer) {
        permits->on_unreachable(now);
        log_issuer_state(target, "not_connected");
        return false;
    }
    wire::schema::PermitRequestT message;
    message.target = target;
    message.started_at = view->record.started_at;
    message.number = permits->on_asked(now);
    message.wanted = wanted;
    message.within_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(0, within.count()));
    message.per_second = board_.fleet.permitted_rate(*view, now).value_or(0);
    message.unpermitted = permits->take_unpermitted();
    metrics_.add(metrics::counter_kind::unpermitted_sends, message.unpermitted);
    message.limit = std::make_unique<wire::schema::LimitObservationT>(
        permit_messages::encode_limit({target, view->record.started_at}, view->limit.latest(), now));
    issuer->send(message);
    schedule(target);
    return true;
}

void permit_controller::apply_answer(wire::schema::PermitAnswerT const& answer, std::string const& issuer) {
    auto const now = base::clock::now();
    auto const* view = board_.fleet.find(answer.target);
    auto* permits = board_.fleet.find_permits(answer.target);
    if (permits == nullptr || view->record.started_at != answer.started_at)
        return;
    std::vector<base::milliseconds> starts;
    for (auto const start : answer.starts_in_ms)
        starts.emplace_back(start);
    permits->on_answer(answer.number, starts, base::milliseconds{answer.available_in_ms}, now, random_);
    metrics_.add(metrics::counter_kind::permits_received, starts.size());
    if (starts.empty())
        metrics_.add(metrics::counter_kind::permits_refused);
    if (answer.limit)
        apply_observation(*answer.limit, issuer);
    log_issuer_state(answer.target, "answered");
    schedule(answer.target);
    on_change_();
}

void permit_controller::apply_observation(wire::schema::LimitObservationT const& message, std::string const& source) {
    auto const decoded = permit_messages::decode_limit(message, base::clock::now());
    if (!board_.fleet.merge_limit(decoded.target, decoded.limit))
        return;
    log::write(log::event_kind::target_limit_changed,
               {{"target", message.target},
                {"source", source},
                {"age_ms", message.age_ms},
                {"limit", std::to_string(decoded.limit.per_second.value_or(0))}});
    on_change_();
}

void permit_controller::log_issuer_state(std::string const& target, std::string_view reason) {
    auto const* permits = board_.fleet.find_permits(target);
    bool const unresponsive = permits != nullptr && permits->unresponsive(base::clock::now());
    if (unresponsive && unresponsive_.insert(target).second)
        log::write(log::event_kind::permit_issuer_unresponsive, {{"target", target}, {"reason", reason}});
    if (!unresponsive && unresponsive_.erase(target) > 0 && permits != nullptr)
        log::write(log::event_kind::permit_issuer_responsive, {{"target", target}});
}

void permit_controller::schedule(std::string const& target) {
    auto const now = base::clock::now();
    auto const* permits = board_.fleet.find_permits(target);
    auto const next = permits == nullptr ? std::nullopt : permits->next_change(now);
    if (!next || (timer_expiry_ && *timer_expiry_ <= *next))
        return;
    timer_expiry_ = next;
    timer_.expires_at(*next);
    timer_.async_wait([this](boost::system::error_code code) {
        if (!code)
            on_timer();
    });
}

void permit_controller::on_timer() {
    timer_expiry_.reset();
    auto const now = base::clock::now();
    board_.fleet.update_permits(now);
    for (auto const& [id, target] : board_.fleet.targets()) {
        if (!board_.fleet.permitted_rate(target, now))
            continue;
        log_issuer_state(id, "silent");
        schedule(id);
    }
    on_change_();
}

void permit_controller::maintain() {
    board_.fleet.update_permits(base::clock::now());
    std::vector<std::string> owing;
    for (auto const& [id, target] : board_.fleet.targets()) {
        if (target.permits.has_unpermitted())
            owing.push_back(id);
    }
    for (auto const& id : owing)
        std::ignore = request(id, 0, {});
    std::erase_if(unresponsive_, [&](auto const& id) { return board_.fleet.find(id) == nullptr; });
}

} // namespace cyclamenledge::forwarding_entry
