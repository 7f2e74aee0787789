#include "agent/engine_part.h"

#include "admission/admission_controller_builder.h"

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

engine_part::engine_part(process::runtime& daemon, blackboard& board, boost::asio::ip::tcp::endpoint target)
    : board_(board)
    , engine_(std::move(target))
    , generations_(daemon, board, engine_) {}

base::result<void> engine_part::apply(catalogue::catalogue_pointer const& published, catalogue::target const& self) {
    auto const* service = published->find_service(self.service);
    admission::admission_controller_builder builder;
    builder.limits(limits_of(self))
        .classes(published->service_classes())
        .default_length(service->default_output_tokens);
    BOOST_OUTCOME_TRY(auto controller, builder.build(base::clock::now()));
    board_.admission.with([&](auto& slot) {
        if (slot)
            slot->apply(published->service_classes());
        else
            slot.emplace(std::move(controller));
    });
    return base::success();
}

void engine_part::on_return_to_service() {
    board_.admission.with([](auto& slot) { slot->on_return_to_service(base::clock::now()); });
}

void engine_part::dump(boost::json::object& state) const {
    auto const snapshot = board_.admission.with([](auto& slot) { return slot->snapshot(base::clock::now()); });
    boost::json::array classes;
    for (auto const& item : snapshot.classes)
        classes.emplace_back(dump_class(item));
    state["admission"] = {{"running", snapshot.hint.running},
                          {"queued", snapshot.hint.queued},
                          {"warmup_bound", snapshot.hint.warmup_bound},
                          {"warm", snapshot.hint.warm},
                          {"held_tokens", snapshot.held_tokens},
                          {"reserved_tokens", snapshot.reserved_tokens},
                          {"memory_tokens", snapshot.memory_tokens},
                          {"unexplained_tokens", snapshot.unexplained_tokens},
                          {"ends_per_second", snapshot.ends_per_second},
                          {"histograms", snapshot.histograms}};
    state["classes"] = std::move(classes);
    state["runs"] = board_.runs.with([](run_table const& table) { return table.size(); });
}

} // namespace cyclamenledge::agent
