#include "agent/agent_role.h"

#include "admission/admission_controller_builder.h"
#include "log/logger.h"
#include "network/endpoint.h"

#include <boost/json/array.hpp>

#include <utility>

namespace cyclamenledge::agent {

namespace {

admission::target_limits limits_of(catalogue::target const& target) {
    return {target.memory_tokens, target.maximum_running, target.warmup_floor};
}

boost::json::object dump_class(admission::class_snapshot const& item) {
    return {{"class", item.name},
            {"running", item.running},
            {"queued", item.queued},
            {"batch_bound", item.batch_bound},
            {"reserved_tokens", item.reserved_tokens},
            {"admitted", item.admitted},
            {"refused", item.refused}};
}

} // namespace

base::result<std::unique_ptr<agent_role>> agent_role::create(process::runtime& daemon) {
    BOOST_OUTCOME_TRY(auto const target, network::parse_endpoint(daemon.settings().target_address));
    std::unique_ptr<agent_role> created{new agent_role{daemon, target}};
    return created;
}

agent_role::agent_role(process::runtime& daemon, boost::asio::ip::tcp::endpoint target)
    : daemon_(daemon)
    , engine_(std::move(target))
    , generations_(daemon, board_, engine_)
    , operators_(daemon, *this)
    , operator_server_(daemon.context(), {}, operators_) {}

base::result<void> agent_role::apply_catalogue(catalogue::catalogue_pointer const& published) {
    auto const& name = daemon_.settings().name;
    auto const* self = published->find_target(name);
    if (self == nullptr) {
        return base::make_error(base::error_kind::invalid_configuration, "the catalogue has no target named " + name);
    }
    auto const* service = published->find_service(self->service);
    admission::admission_controller_builder builder;
    builder.limits(limits_of(*self))
        .classes(published->service_classes())
        .default_length(service->default_output_tokens);
    BOOST_OUTCOME_TRY(auto controller, builder.build(base::clock::now()));
    put_admission_in_force(*published, std::move(controller));

    auto const earlier =
        board_.target.with([&](target_view& view) { return std::exchange(view.catalogue, published); });
    auto const* before = earlier ? earlier->find_target(name) : nullptr;
    bool const was_in_service = before == nullptr || earlier->in_service(*before);
    bool const is_in_service = published->in_service(*self);
    if (was_in_service && !is_in_service)
        log::write(log::event_kind::target_out_of_service, {{"target", name}});
    if (!was_in_service && is_in_service) {
        log::write(log::event_kind::target_in_service, {{"target", name}});
        board_.admission.with([](auto& slot) { slot->on_return_to_service(base::clock::now()); });
    }
    return base::success();
}

void agent_role::put_admission_in_force(catalogue::catalogue const& published, admission::admission_controller fresh) {
    board_.admission.with([&](auto& slot) {
        if (slot)
            slot->apply(published.service_classes());
        else
            slot.emplace(std::move(fresh));
    });
}

membership::standing agent_role::own_standing() const {
    return daemon_.board().members.with([&](auto& members) {
        return members ? members->standing_of(daemon_.settings().name, base::clock::now())
                       : membership::standing::not_in_catalogue;
    });
}

void agent_role::follow_membership() {
    bool const leaving = own_standing() == membership::standing::vm_leaving;
    board_.target.with([&](target_view& view) { view.vm_leaving = leaving; });
}

base::result<void> agent_role::start() {
    BOOST_OUTCOME_TRYV(operator_server_.listen(daemon_.settings().operator_address));
    generations_.start();
    return daemon_.hub().listen(daemon_.settings().peer_address);
}

void agent_role::stop_accepting() {
    daemon_.hub().stop_accepting();
}

bool agent_role::able_to_serve() const {
    return board_.target.with([](target_view const& view) { return view.catalogue && view.reachable; });
}

boost::json::object agent_role::state() const {
    auto const snapshot = board_.admission.with(
        [](auto& slot) { return slot ? slot->snapshot(base::clock::now()) : admission::admission_snapshot{}; });
    auto const view = board_.target.with([](target_view const& current) { return current; });
    boost::json::array classes;
    for (auto const& item : snapshot.classes)
        classes.emplace_back(dump_class(item));

    boost::json::object dump;
    dump["role"] = "agent";
    dump["revision"] = view.catalogue ? view.catalogue->revision() : 0;
    dump["target"] = {{"reachable", view.reachable},
                      {"vm_leaving", view.vm_leaving},
                      {"standing", membership::name_of(own_standing())},
                      {"incarnation", view.incarnation},
                      {"preemptions", view.preemptions}};
    dump["admission"] = {{"running", snapshot.hint.running},
                         {"queued", snapshot.hint.queued},
                         {"warmup_bound", snapshot.hint.warmup_bound},
                         {"warm", snapshot.hint.warm},
                         {"held_tokens", snapshot.held_tokens},
                         {"reserved_tokens", snapshot.reserved_tokens},
                         {"memory_tokens", snapshot.memory_tokens},
                         {"unexplained_tokens", snapshot.unexplained_tokens},
                         {"ends_per_second", snapshot.ends_per_second},
                         {"histograms", snapshot.histograms}};
    dump["classes"] = std::move(classes);
    dump["runs"] = board_.runs.with([](run_table const& table) { return table.size(); });
    return dump;
}

base::result<boost::json::object> agent_role::explain(std::string_view, std::string_view) const {
    return base::make_error(base::error_kind::bad_request, "explain is answered by entries");
}

} // namespace cyclamenledge::agent
