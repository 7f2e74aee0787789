#include "entry/agent_links.h"

#include "log/logger.h"

#include <utility>
#include <vector>

namespace cyclamenledge::entry {

agent_links::agent_links(process::runtime& daemon, blackboard& board)
    : daemon_(daemon)
    , board_(board) {}

void agent_links::start() {
    register_answer<wire::schema::AdmittedT>();
    register_answer<wire::schema::RefusedT>();
    register_answer<wire::schema::TokensT>();
    register_answer<wire::schema::GenerationEndT>();
    register_answer<wire::schema::CallAnswerT>();
    daemon_.hub().add_observer(*this);
}

template <class Message>
void agent_links::register_answer() {
    daemon_.hub().handle<Message>(
        [this](link::connection& source, Message message) { pass_on(source, std::move(message)); });
}

template <class Message>
void agent_links::pass_on(link::connection& source, Message message) {
    if constexpr (requires { message.load; }) {
        if (message.load)
            update_hint(source.peer().process, *message.load);
    }
    auto const number = message.attempt;
    bool matched = false;
    bool const accepted = board_.attempts.with([&](stream::attempt_table& attempts) {
        auto* const found = attempts.match({number, number, source.number()});
        matched = found != nullptr;
        return !matched || static_cast<attempt*>(found)->receiver().deliver(number, std::move(message));
    });
    if (!matched) {
        daemon_.metrics().add(metrics::counter_kind::late_answers_dropped);
        log::write(log::event_kind::answer_dropped, {{"peer", source.peer().process}, {"attempt", number}});
    }
    if (!accepted)
        source.close(base::make_error(base::error_kind::protocol_error, "more frames than flow control allows"));
}

void agent_links::follow(catalogue::catalogue const& published) {
    std::map<std::string, std::string> wanted;
    board_.routing.with([&](routing_state& state) {
        for (auto const& target : state.targets->targets()) {
            if (auto const* item = published.find_target(target.name); item != nullptr)
                wanted.emplace(item->name, item->agent_address);
        }
    });
    std::vector<std::string> ended;
    {
        std::scoped_lock const lock{mutex_};
        for (auto const& [target, address] : linked_) {
            if (!wanted.contains(target))
                ended.push_back(target);
        }
        linked_ = wanted;
    }
    for (auto const& target : ended)
        daemon_.hub().disconnect(target);
    for (auto const& [target, address] : wanted) {
        daemon_.hub().connect(target, address);
        // The link may be up already, as to a first contact or while the table was being built.
        if (daemon_.hub().find(target))
            set_link(target, true);
    }
}

void agent_links::on_up(link::connection& source) {
    set_link(source.peer().process, true);
}

void agent_links::on_heartbeat(link::connection& source, wire::schema::HeartbeatT const& heartbeat) {
    if (heartbeat.load)
        update_hint(source.peer().process, *heartbeat.load);
}

void agent_links::update_hint(std::string const& target, wire::schema::LoadHintT const& hint) {
    routing::load_hint const value{hint.running, hint.queued, hint.bound, hint.target_incarnation};
    board_.routing.with([&](routing_state& state) {
        if (state.targets)
            state.targets->update_hint(target, value, base::clock::now());
    });
}

void agent_links::set_link(std::string const& target, bool up) {
    board_.routing.with([&](routing_state& state) {
        if (state.targets)
            state.targets->set_link(target, up, base::clock::now());
    });
}

void agent_links::on_down(link::connection& source, base::error const& reason) {
    // With a fresh connection in place already, the target stays linked.
    if (!daemon_.hub().find(source.peer().process))
        set_link(source.peer().process, false);
    board_.attempts.with([&](stream::attempt_table& attempts) {
        for (auto* const lost : attempts.lose_connection(source.number()))
            static_cast<attempt*>(lost)->receiver().deliver(lost->identity().attempt, connection_lost{reason});
    });
}

} // namespace cyclamenledge::entry
