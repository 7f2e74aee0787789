#include "agent/agent_role.h"

#include "agent/engine_part.h"
#include "agent/plain_part.h"
#include "log/logger.h"
#include "network/endpoint.h"

#include <array>
#include <utility>

namespace cyclamenledge::agent {

namespace {

using part_factory = std::unique_ptr<target_part> (*)(process::runtime&, blackboard&, boost::asio::ip::tcp::endpoint);

template <class Part>
std::unique_ptr<target_part> make_part(process::runtime& daemon, blackboard& board,
                                       boost::asio::ip::tcp::endpoint target) {
    return std::make_unique<Part>(daemon, board, std::move(target));
}

// In the order of catalogue::service_kind.
constexpr std::array<part_factory, 2> part_factories{&make_part<engine_part>, &make_part<plain_part>};

base::result<catalogue::target const*> own_target(process::runtime const& daemon,
                                                  catalogue::catalogue const& published) {
    auto const& name = daemon.settings().name;
    auto const* self = published.find_target(name);
    if (self == nullptr) {
        return base::make_error(base::error_kind::invalid_configuration, "the catalogue has no target named " + name);
    }
    return self;
}

} // namespace

base::result<std::unique_ptr<agent_role>> agent_role::create(process::runtime& daemon,
                                                             catalogue::catalogue_pointer published) {
    BOOST_OUTCOME_TRY(auto const endpoint, network::parse_endpoint(daemon.settings().target_address));
    BOOST_OUTCOME_TRY(auto const* self, own_target(daemon, *published));
    auto const kind = published->find_service(self->service)->kind;
    std::unique_ptr<agent_role> created{new agent_role{daemon}};
    created->part_ = part_factories.at(static_cast<std::size_t>(kind))(daemon, created->board_, endpoint);
    BOOST_OUTCOME_TRYV(created->apply(published));
    return created;
}

agent_role::agent_role(process::runtime& daemon)
    : daemon_(daemon)
    , operators_(daemon, *this)
    , operator_server_(daemon.context(), {}, operators_) {}

base::result<void> agent_role::apply(catalogue::catalogue_pointer const& published) {
    BOOST_OUTCOME_TRY(auto const* self, own_target(daemon_, *published));
    BOOST_OUTCOME_TRYV(part_->apply(published, *self));
    board_.target.with([&](target_view& view) { view.catalogue = published; });
    daemon_.metrics().add(metrics::counter_kind::configuration_applied);
    log::write(log::event_kind::configuration_applied, {{"revision", published->revision()}});
    return base::success();
}

base::result<void> agent_role::start() {
    BOOST_OUTCOME_TRYV(operator_server_.listen(daemon_.settings().operator_address));
    part_->start();
    return daemon_.hub().listen(daemon_.settings().peer_address);
}

// An entry whose link breaks during the stop has to come back for its streams. New work is refused by begin_request.
void agent_role::stop_accepting() {}

bool agent_role::able_to_serve() const {
    return board_.target.with([](target_view const& view) { return view.reachable; });
}

boost::json::object agent_role::state() const {
    auto const view = board_.target.with([](target_view const& current) { return current; });
    boost::json::object dump;
    dump["role"] = "agent";
    dump["revision"] = view.catalogue->revision();
    dump["target"] = {
        {"reachable", view.reachable}, {"incarnation", view.incarnation}, {"preemptions", view.preemptions}};
    part_->dump(dump);
    return dump;
}

base::result<boost::json::object> agent_role::explain(std::string_view, std::string_view) const {
    return base::make_error(base::error_kind::bad_request, "explain is answered by entries");
}

} // namespace cyclamenledge::agent
