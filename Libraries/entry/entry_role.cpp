#include "entry/entry_role.h"

#include "base/random.h"
#include "log/logger.h"
#include "routing/target_table_builder.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace cyclamenledge::entry {

namespace {

http::server_limits limits_of(settings::caller_limits const& configured) {
    http::server_limits limits;
    limits.header_bytes = configured.header_bytes;
    limits.body_bytes = configured.body_bytes;
    limits.header_timeout = configured.header_timeout;
    limits.connections = configured.connections;
    return limits;
}

boost::json::object dump_target(routing::target_state const& target) {
    return {{"target", target.name},
            {"link_up", target.link_up},
            {"in_service", target.in_service},
            {"leaving", target.leaving},
            {"crosses_region", target.crosses_region},
            {"running", target.hint.running},
            {"queued", target.hint.queued},
            {"bound", target.bound()},
            {"outstanding", target.own_outstanding},
            {"consecutive_failures", target.consecutive_failures},
            {"ejected", target.ejected_at.has_value()}};
}

} // namespace

base::result<std::unique_ptr<entry_role>> entry_role::create(process::runtime& daemon,
                                                             catalogue::catalogue_pointer published) {
    std::unique_ptr<entry_role> created{new entry_role{daemon}};
    created->links_.start();
    created->limits_.start();
    created->poison_.start();
    BOOST_OUTCOME_TRYV(created->apply(published));
    return created;
}

entry_role::entry_role(process::runtime& daemon)
    : daemon_(daemon)
    , links_(daemon, board_)
    , limits_(daemon, board_.limits)
    , poison_(daemon, board_.suspects)
    , callers_(daemon, board_, links_, limits_, poison_, *this)
    , caller_server_(daemon.context(), limits_of(daemon.settings().limits), callers_)
    , operators_(daemon, *this)
    , operator_server_(daemon.context(), {}, operators_) {}

base::result<void> entry_role::apply(catalogue::catalogue_pointer const& published) {
    auto const now = base::clock::now();
    auto const applied = board_.routing.with([&](routing_state& state) -> base::result<void> {
        routing::target_table_builder builder;
        builder.published(published).entry(daemon_.settings().name).failure_domain(daemon_.settings().failure_domain);
        builder.seed(base::random_seed());
        if (state.targets)
            builder.previous(*state.targets);
        BOOST_OUTCOME_TRY(auto table, builder.build(now));
        state.targets.emplace(std::move(table));
        return base::success();
    });
    BOOST_OUTCOME_TRYV(applied);
    board_.catalogue.with([&](auto& slot) { slot = published; });
    limits_.set_catalogue(published);
    links_.follow(*published);
    daemon_.metrics().add(metrics::counter_kind::configuration_applied);
    log::write(log::event_kind::configuration_applied, {{"revision", published->revision()}});
    return base::success();
}

base::result<void> entry_role::start() {
    BOOST_OUTCOME_TRYV(operator_server_.listen(daemon_.settings().operator_address));
    BOOST_OUTCOME_TRYV(daemon_.hub().listen(daemon_.settings().peer_address));
    return caller_server_.listen(daemon_.settings().caller_address);
}

void entry_role::stop_accepting() {
    caller_server_.stop_accepting();
    daemon_.hub().stop_accepting();
}

bool entry_role::able_to_serve() const {
    return board_.routing.with([](routing_state& state) {
        auto const& targets = state.targets->targets();
        return std::ranges::any_of(targets, &routing::target_state::link_up);
    });
}

boost::json::object entry_role::state() const {
    boost::json::array targets;
    board_.routing.with([&](routing_state& state) {
        for (auto const& target : state.targets->targets())
            targets.emplace_back(dump_target(target));
    });
    boost::json::object dump;
    dump["role"] = "entry";
    dump["revision"] = board_.catalogue.with([](auto const& published) { return published->revision(); });
    dump["sessions"] = caller_server_.open_sessions();
    dump["targets"] = std::move(targets);
    dump["limits"] = limits_.state();
    dump["poison"] = poison_.state();
    return dump;
}

base::result<boost::json::object> entry_role::explain(std::string_view organisation, std::string_view service) const {
    auto const published = board_.catalogue.with([](auto const& current) { return current; });
    auto const* from = published->find_organisation(organisation);
    auto const* wanted = published->find_service(service);
    if (from == nullptr || wanted == nullptr)
        return base::make_error(base::error_kind::not_found, "no such organisation or service in the catalogue");
    auto const* service_class = published->find_service_class(from->service_class);
    routing::route_request request;
    request.service = wanted->name;
    request.crossing = service_class->crossing;
    request.explain = true;

    boost::json::object explanation;
    board_.routing.with([&](routing_state& state) {
        auto const decision = state.targets->choose(request, base::clock::now());
        explanation["target"] = decision.target;
        explanation["rule"] = routing::choice_rule_names.name(decision.rule);
        if (decision.refusal)
            explanation["refusal"] = base::name_of(*decision.refusal);
        boost::json::array considered;
        for (auto const& candidate : decision.considered) {
            considered.emplace_back(boost::json::object{{"target", candidate.target},
                                                        {"reason", routing::skip_reason_names.name(candidate.reason)},
                                                        {"expected_milliseconds", candidate.expected_milliseconds}});
        }
        explanation["considered"] = std::move(considered);
    });
    return explanation;
}

} // namespace cyclamenledge::entry
