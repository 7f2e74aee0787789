#include "entry/agent_links.h"

#include "log/logger.h"

#include <algorithm>
#include <memory>
#include <utility>
#include <vector>

namespace cyclamenledge::entry {

namespace {

// Well below the bound of a frame, so that one more answer of a call still fits.
constexpr std::size_t remembered_bytes_per_frame = 64UL * 1024;
// Answers that are larger than this would not fit into a frame beside their envelope.
constexpr std::size_t largest_remembered_answer = 900UL * 1024;

std::unique_ptr<wire::schema::RememberedKeyT> to_message(once::remembered_key key) {
    // The three parts are separated by line feeds, see tracked_key.
    auto const service_end = key.scoped.find('\n');
    auto const organisation_end = key.scoped.find('\n', service_end + 1);
    auto message = std::make_unique<wire::schema::RememberedKeyT>();
    message->service = key.scoped.substr(0, service_end);
    message->organisation = key.scoped.substr(service_end + 1, organisation_end - service_end - 1);
    message->key = key.scoped.substr(organisation_end + 1);
    message->fingerprint = key.body_fingerprint;
    bool const fits = key.answer.body.size() <= largest_remembered_answer;
    message->state = static_cast<std::uint8_t>(fits ? key.outcome : once::key_state::unknown);
    if (fits && key.outcome == once::key_state::done) {
        message->status = key.answer.status;
        message->content_type = std::move(key.answer.content_type);
        message->body.assign(key.answer.body.begin(), key.answer.body.end());
    }
    return message;
}

/// Key owners from the set in force on; earlier ones are asked by the agents.
void add_key_owners(catalogue::catalogue const& published, std::map<std::string, std::string>& wanted) {
    auto const now = std::chrono::floor<base::milliseconds>(std::chrono::system_clock::now());
    for (auto const& service : published.services()) {
        auto const& sets = service.key_owners;
        auto first = std::ranges::find_if(sets, [&](auto const& item) { return item.from > now; });
        if (first != sets.begin())
            --first;
        for (; first != sets.end(); ++first) {
            for (auto const& name : first->targets) {
                if (auto const* target = published.find_target(name); target != nullptr)
                    wanted.emplace(name, target->agent_address);
            }
        }
    }
}

} // namespace

std::string tracked_key(std::string_view service, std::string_view organisation, once::idempotency_key const& key) {
    std::string tracked{service};
    tracked += '\n';
    tracked += once::scoped_key(organisation, key);
    return tracked;
}

agent_links::agent_links(process::runtime& daemon, blackboard& board)
    : daemon_(daemon)
    , board_(board) {}

void agent_links::start() {
    register_answer<wire::schema::AdmittedT>();
    register_answer<wire::schema::RefusedT>();
    register_answer<wire::schema::TokensT>();
    register_answer<wire::schema::GenerationEndT>();
    register_answer<wire::schema::CallAnswerT>();
    register_answer<wire::schema::KeyStateT>();
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
    add_key_owners(published, wanted);
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
        if (daemon_.hub().find_connection(target))
            set_link(target, true);
    }
}

link::connection_pointer agent_links::find_informed(std::string_view target) const {
    auto connection = find(target);
    std::scoped_lock const lock{mutex_};
    return connection && informed_.contains(connection->number()) ? connection : nullptr;
}

void agent_links::send_remembered(link::connection& target) {
    auto remembered = board_.calls.with([&](once::call_tracker const& tracker) {
        return tracker.remembered_keys(target.peer().process, target.peer().incarnation);
    });
    wire::schema::RememberedKeysT message;
    std::size_t bytes = 0;
    auto const flush = [&] {
        if (!message.keys.empty())
            target.send(message);
        message.keys.clear();
        bytes = 0;
    };
    for (auto& key : remembered) {
        auto const size = key.scoped.size() + key.answer.body.size();
        if (bytes + size > remembered_bytes_per_frame)
            flush();
        bytes += size;
        message.keys.push_back(to_message(std::move(key)));
    }
    flush();
}

void agent_links::on_connected(link::connection& source) {
    send_remembered(source);
    {
        std::scoped_lock const lock{mutex_};
        informed_.insert(source.number());
    }
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

void agent_links::on_disconnected(link::connection& source, base::error const& reason) {
    {
        std::scoped_lock const lock{mutex_};
        informed_.erase(source.number());
    }
    // With a fresh connection in place already, the target stays linked.
    if (!daemon_.hub().find_connection(source.peer().process))
        set_link(source.peer().process, false);
    board_.attempts.with([&](stream::attempt_table& attempts) {
        for (auto* const lost : attempts.close_connection(source.number()))
            static_cast<attempt*>(lost)->receiver().deliver(lost->identity().attempt, connection_lost{reason});
    });
}

} // namespace cyclamenledge::entry
