#include "forwarding_agent/permit_service.h"

#include "log/logger.h"
#include "permit_messages/limit_message.h"

#include <memory>
#include <string>

namespace cyclamenledge::forwarding_agent {

void permit_service::start() {
    hub_.add_observer(*this);
    hub_.handle<wire::schema::PermitRequestT>(
        [this](link::connection& entry, wire::schema::PermitRequestT const& message) { answer(entry, message); });
    hub_.handle<wire::schema::LimitObservationsT>(
        [this](link::connection& entry, wire::schema::LimitObservationsT const& message) {
            for (auto const& observation : message.observations)
                observe(entry, *observation);
        });
}

void permit_service::answer(link::connection& entry, wire::schema::PermitRequestT const& message) {
    auto const now = base::clock::now();
    if (message.limit)
        observe(entry, *message.limit);
    forwarding::permit_request request;
    request.target = {message.target, message.started_at};
    request.wanted = message.wanted;
    request.within = base::milliseconds{message.within_ms};
    request.per_second = message.per_second;
    request.unpermitted = message.unpermitted;
    auto const issued = issuer_.answer(request, now);
    wire::schema::PermitAnswerT reply;
    reply.target = message.target;
    reply.started_at = message.started_at;
    reply.number = message.number;
    for (auto const start : issued.starts_in)
        reply.starts_in_ms.push_back(static_cast<std::uint32_t>(start.count()));
    reply.available_in_ms = static_cast<std::uint32_t>(issued.available_in.count());
    reply.limit = std::make_unique<wire::schema::LimitObservationT>(
        permit_messages::encode_limit(request.target, issuer_.find_limit(message.target), now));
    entry.send(reply);
    issuer_.expire(now);
}

void permit_service::observe(link::connection& entry, wire::schema::LimitObservationT const& message) {
    auto const now = base::clock::now();
    auto const seen = permit_messages::decode_limit(message, now);
    if (!issuer_.observe(seen.target, seen.limit, now))
        return;
    auto const limit = issuer_.find_limit(message.target);
    log::write(log::event_kind::target_limit_changed, {{"target", message.target},
                                                       {"source", entry.peer().process},
                                                       {"age_ms", message.age_ms},
                                                       {"limit", std::to_string(limit.per_second.value_or(0))}});
    wire::schema::LimitObservationsT notice;
    notice.observations.push_back(
        std::make_unique<wire::schema::LimitObservationT>(permit_messages::encode_limit(seen.target, limit, now)));
    for (auto const& connection : hub_.ready_connections()) {
        if (connection->number() != entry.number())
            connection->send(notice);
    }
}

void permit_service::on_connected(link::connection& entry) {
    auto const now = base::clock::now();
    issuer_.expire(now);
    wire::schema::LimitObservationsT notice;
    for (auto const& known : issuer_.limits())
        notice.observations.push_back(std::make_unique<wire::schema::LimitObservationT>(
            permit_messages::encode_limit(known.target, known.limit, now)));
    if (!notice.observations.empty())
        entry.send(notice);
}

} // namespace cyclamenledge::forwarding_agent
