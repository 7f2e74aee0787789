#include "entry/entry_role.h"

#include "base/random.h"
#include "log/logger.h"
#include "routing/target_table_builder.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <utility>

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

/// Whether both catalogues lead to the same links and the same states of targets.
bool equal_routing(catalogue::catalogue const& left, catalogue::catalogue const& right) {
    return left.entries() == right.entries() && left.targets() == right.targets() &&
           left.failure_domains() == right.failure_domains() &&
           std::ranges::equal(left.services(), right.services(), {}, &catalogue::service::name,
                              &catalogue::service::name);
}

bool is_out_of_service(membership::target_eligibility value) {
    return value == membership::target_eligibility::target_out_of_service ||
           value == membership::target_eligibility::failure_domain_out_of_service;
}

/// Standings for which the entry does not choose the target whatever its link says. A link, its health and the service
/// state of the catalogue are in the routing table already.
bool counts_as_leaving(membership::target_eligibility value) {
    using enum membership::target_eligibility;
    return value == vm_leaving || value == announced_leaving || value == vm_gone;
}

boost::json::object dump_target(routing::target_state const& target, membership::target_eligibility eligibility) {
    return {{"target", target.name},
            {"standing", membership::name_of(eligibility)},
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

base::result<std::unique_ptr<entry_role>> entry_role::create(process::runtime& daemon) {
    std::unique_ptr<entry_role> created{new entry_role{daemon}};
    created->links_.start();
    created->limits_.start();
    created->poison_.start();
    return created;
}

entry_role::entry_role(process::runtime& daemon)
    : daemon_(daemon)
    , links_(daemon, board_)
    , limits_(daemon, board_.limits)
    , poison_(daemon, board_.suspects, &poison_control::processes_of_same_role)
    , callers_(daemon, board_, links_, limits_, poison_, *this)
    , caller_server_(daemon.context(), limits_of(daemon.settings().limits), callers_)
    , operators_(daemon, *this)
    , operator_server_(daemon.context(), {}, operators_) {}

base::result<void> entry_role::apply_catalogue(catalogue::catalogue_pointer const& published) {
    auto const current = board_.catalogue.with([](auto const& slot) { return slot; });
    if (!current || !equal_routing(*current, *published)) {
        BOOST_OUTCOME_TRYV(rebuild_targets(published));
    }
    board_.catalogue.with([&](auto& slot) { slot = published; });
    limits_.set_catalogue(published);
    links_.follow(*published);
    return base::success();
}

base::result<void> entry_role::rebuild_targets(catalogue::catalogue_pointer const& published) {
    routing::target_table_builder builder;
    builder.published(published).entry(daemon_.settings().name).failure_domain(daemon_.settings().failure_domain);
    builder.seed(base::random_seed());
    // Takes about 175 ms at target size, so that requests must not wait for it.
    BOOST_OUTCOME_TRY(auto table, builder.build(base::clock::now()));
    board_.routing.with([&](routing_state& state) {
        if (state.targets)
            table.copy_learned_state(std::move(*state.targets), base::clock::now());
        state.targets.emplace(std::move(table));
    });
    return base::success();
}

std::map<std::string, membership::target_eligibility> entry_role::eligibilities() const {
    std::vector<std::string> names;
    board_.routing.with([&](routing_state& state) {
        if (!state.targets)
            return;
        for (auto const& target : state.targets->targets())
            names.emplace_back(target.name);
    });
    std::map<std::string, membership::target_eligibility> result;
    daemon_.board().members.with([&](auto& members) {
        for (auto const& name : names)
            result[name] = members ? members->eligibility_of(name, base::clock::now())
                                   : membership::target_eligibility::not_in_catalogue;
    });
    return result;
}

void entry_role::on_membership_changed() {
    auto current = eligibilities();
    board_.routing.with([&](routing_state& state) {
        for (auto const& [target, eligibility] : current) {
            if (state.targets)
                state.targets->set_leaving(target, counts_as_leaving(eligibility));
        }
    });
    for (auto const& [target, eligibility] : current) {
        auto const before = last_eligibilities_.find(target);
        log_eligibility(target,
                        before == last_eligibilities_.end() ? membership::target_eligibility::eligible : before->second,
                        eligibility);
    }
    last_eligibilities_ = std::move(current);
    log_ejections();
}

void entry_role::log_eligibility(std::string const& target, membership::target_eligibility before,
                                 membership::target_eligibility now) const {
    if (is_out_of_service(before) == is_out_of_service(now))
        return;
    if (is_out_of_service(now)) {
        log::write(log::event_kind::target_out_of_service, {{"target", target}, {"reason", membership::name_of(now)}});
    } else {
        log::write(log::event_kind::target_in_service, {{"target", target}});
    }
}

void entry_role::log_ejections() {
    std::set<std::string, std::less<>> current;
    board_.routing.with([&](routing_state& state) {
        if (!state.targets)
            return;
        for (auto const& target : state.targets->targets()) {
            if (target.ejected_at)
                current.emplace(target.name);
        }
    });
    for (auto const& target : current) {
        if (!ejected_.contains(target))
            log::write(log::event_kind::target_ejected, {{"target", target}});
    }
    ejected_ = std::move(current);
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
        return state.targets && std::ranges::any_of(state.targets->targets(), &routing::target_state::link_up);
    });
}

boost::json::object entry_role::state() const {
    auto const current = eligibilities();
    boost::json::array targets;
    board_.routing.with([&](routing_state& state) {
        if (!state.targets)
            return;
        for (auto const& target : state.targets->targets()) {
            auto const known = current.find(std::string{target.name});
            targets.emplace_back(dump_target(
                target, known == current.end() ? membership::target_eligibility::not_in_catalogue : known->second));
        }
    });
    boost::json::object dump;
    dump["role"] = "entry";
    dump["revision"] =
        board_.catalogue.with([](auto const& published) { return published ? published->revision() : 0; });
    dump["sessions"] = caller_server_.open_sessions();
    dump["targets"] = std::move(targets);
    dump["limits"] = limits_.state();
    dump["poison"] = poison_.state();
    return dump;
}

base::result<boost::json::object> entry_role::explain(std::string_view organisation, std::string_view service) const {
    auto const published = board_.catalogue.with([](auto const& current) { return current; });
    if (!published)
        return base::make_error(base::error_kind::no_target, "this entry has no catalogue yet");
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
