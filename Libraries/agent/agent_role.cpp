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

base::error invalid(std::string const& what) {
    return base::make_error(base::error_kind::invalid_configuration, what);
}

} // namespace

base::result<std::unique_ptr<agent_role>> agent_role::create(process::runtime& daemon) {
    BOOST_OUTCOME_TRY(auto target, network::parse_endpoint(daemon.settings().target_address));
    return std::unique_ptr<agent_role>{new agent_role{daemon, std::move(target)}};
}

agent_role::agent_role(process::runtime& daemon, boost::asio::ip::tcp::endpoint target)
    : daemon_(daemon)
    , target_(std::move(target))
    , operators_(daemon, *this)
    , operator_server_(daemon.context(), {}, operators_) {
    daemon_.hub().add_observer(*this);
}

base::result<void> agent_role::apply_catalogue(catalogue::catalogue_pointer const& published) {
    auto const& name = daemon_.settings().name;
    auto const* self = published->find_target(name);
    if (self == nullptr)
        return invalid("the catalogue has no target named " + name);
    auto const kind = published->find_service(self->service)->kind;
    bool const first = part_ == nullptr;
    if (!first && kind != kind_)
        return invalid("the kind of the service of " + name + " has changed; the agent has to be restarted");
    if (first)
        part_ = part_factories.at(static_cast<std::size_t>(kind))(daemon_, board_, target_);
    kind_ = kind;
    if (auto const applied = part_->apply(published, *self); !applied) {
        if (first)
            part_.reset();
        return applied.error();
    }
    auto const earlier =
        board_.target.with([&](target_view& view) { return std::exchange(view.catalogue, published); });
    if (first) {
        part_->start();
        started_part_.store(part_.get(), std::memory_order_release);
    } else {
        follow_service_state(*earlier, *published);
    }
    return base::success();
}

void agent_role::follow_service_state(catalogue::catalogue const& earlier, catalogue::catalogue const& published) {
    auto const& name = daemon_.settings().name;
    bool const was_in_service = earlier.in_service(*earlier.find_target(name));
    bool const is_in_service = published.in_service(*published.find_target(name));
    if (was_in_service && !is_in_service)
        log::write(log::event_kind::target_out_of_service, {{"target", name}});
    if (!was_in_service && is_in_service) {
        log::write(log::event_kind::target_in_service, {{"target", name}});
        part_->on_return_to_service();
    }
}

void agent_role::on_configuration_confirmed(base::time_point as_of) {
    if (auto* const part = started_part_.load(std::memory_order_acquire))
        part->on_configuration_confirmed(as_of);
}

membership::target_eligibility agent_role::own_eligibility() const {
    return daemon_.board().members.with([&](auto& members) {
        return members ? members->eligibility_of(daemon_.settings().name, base::clock::now())
                       : membership::target_eligibility::not_in_catalogue;
    });
}

void agent_role::on_membership_changed() {
    bool const leaving = own_eligibility() == membership::target_eligibility::vm_leaving;
    board_.target.with([&](target_view& view) { view.vm_leaving = leaving; });
}

void agent_role::fill_heartbeat(wire::schema::HeartbeatT& content) {
    // Without a catalogue nothing handles requests yet, so entries must not send any.
    if (started_part_.load(std::memory_order_acquire) == nullptr)
        content.load = std::make_unique<wire::schema::LoadHintT>();
}

base::result<void> agent_role::start() {
    BOOST_OUTCOME_TRYV(operator_server_.listen(daemon_.settings().operator_address));
    return daemon_.hub().listen(daemon_.settings().peer_address);
}

// An entry whose link breaks during the stop has to come back for its streams. New work is refused by begin_request.
void agent_role::stop_accepting() {}

bool agent_role::able_to_serve() const {
    return board_.target.with([](target_view const& view) { return view.catalogue && view.reachable; });
}

boost::json::object agent_role::state() const {
    auto const view = board_.target.with([](target_view const& current) { return current; });
    boost::json::object dump;
    dump["role"] = "agent";
    dump["revision"] = view.catalogue ? view.catalogue->revision() : 0;
    dump["target"] = {{"reachable", view.reachable},
                      {"vm_leaving", view.vm_leaving},
                      {"standing", membership::name_of(own_eligibility())},
                      {"incarnation", view.incarnation},
                      {"preemptions", view.preemptions}};
    if (auto const* const part = started_part_.load(std::memory_order_acquire))
        part->dump(dump);
    return dump;
}

base::result<boost::json::object> agent_role::explain(std::string_view, std::string_view) const {
    return base::make_error(base::error_kind::bad_request, "explain is answered by entries");
}

} // namespace cyclamenledge::agent
