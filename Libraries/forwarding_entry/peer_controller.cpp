#include "forwarding_entry/peer_controller.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;
using forwarding::publication;
using forwarding::publication_kind;

namespace {

// A configuration has to be active within a few seconds, also at an entry that the store refuses.
constexpr base::milliseconds request_interval{300};
// Without a change, followers receive a message at most this often.
constexpr base::milliseconds relay_interval{400};
// A clock value beyond it is no clock value: it would overflow a time in nanoseconds.
constexpr std::uint64_t largest_clock_ms = 1'000'000'000'000;

wire::schema::PublicationRecordT encode(publication const& change) {
    wire::schema::PublicationRecordT record;
    record.kind = static_cast<std::uint8_t>(change.kind);
    record.name = change.name;
    record.revision = change.revision.number;
    record.era = change.revision.era;
    record.removed = change.removed;
    record.text = change.text;
    return record;
}

publication decode(wire::schema::PublicationRecordT const& record) {
    return {static_cast<publication_kind>(record.kind),
            record.name,
            {record.era, record.revision},
            record.removed,
            record.text,
            0};
}

} // namespace

peer_controller::peer_controller(asio::io_context& context, link::hub& hub, blackboard& board,
                                 publication_controller& publications, store_controller& store)
    : context_(context)
    , hub_(hub)
    , board_(board)
    , publications_(publications)
    , store_(store) {
    hub_.handle<wire::schema::PublicationRequestT>(
        [this](link::connection& requester, wire::schema::PublicationRequestT const& request) {
            if (request.follow)
                followers_[requester.number()] = {link::connection_pointer{&requester}, {request.era, request.after}};
            answer_request(requester, request);
        });
    hub_.handle<wire::schema::PublicationsT>(
        [this](link::connection& peer, wire::schema::PublicationsT const& message) {
            apply_changes(message, peer.peer().process);
        });
}

void peer_controller::start(std::vector<std::string> const& peers, std::string const& own_address) {
    uses_relays_ = std::ranges::find(peers, own_address) == peers.end();
    named_peers_ = peers.size();
    hub_.add_observer(*this);
    for (auto const& peer : peers) {
        if (peer != own_address)
            hub_.connect_address(peer);
    }
    asio::co_spawn(context_, run_sync_loop(), asio::detached);
}

asio::awaitable<void> peer_controller::run_sync_loop() {
    asio::steady_timer timer{context_};
    while (true) {
        timer.expires_after(request_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto const now = base::clock::now();
        count_entries();
        if (!store_.is_current(now))
            request_changes();
        relay_confirmation();
    }
}

void peer_controller::count_entries() {
    if (uses_relays_)
        return;
    // An entry that has just reconnected may still have its earlier connection.
    std::set<std::string_view> others;
    for (auto const& connection : hub_.ready_connections()) {
        if (connection->peer().role == hub_.self().role)
            others.insert(connection->peer().process);
    }
    // An entry that is cut off from all others must not take the whole of what they divide.
    if (!others.empty())
        board_.fleet.observe_entries(static_cast<std::uint32_t>(std::max(others.size() + 1, named_peers_)),
                                     base::clock::now());
}

wire::schema::PublicationRequestT peer_controller::make_request() const {
    auto const after = std::max(store_.confirmed_revision(), received_revision_);
    wire::schema::PublicationRequestT request;
    request.after = after.number;
    request.era = after.era;
    request.configuration_version = board_.routes ? board_.routes->version() : 0;
    return request;
}

void peer_controller::request_changes() {
    auto const request = make_request();
    auto const own_role = hub_.self().role;
    for (auto const& connection : hub_.ready_connections()) {
        if (connection->peer().role == own_role)
            connection->send(request);
    }
}

void peer_controller::answer_request(link::connection& requester, wire::schema::PublicationRequestT const& request) {
    // A process whose own revisions are outdated may lack a change, so that its configuration may have been replaced,
    // and must not claim that its answer is complete.
    if (!store_.is_current(base::clock::now()))
        return;
    forwarding::store_revision const after{request.era, request.after};
    send_newer_configuration(requester, request.configuration_version);
    if (store_.confirmed_revision() > after)
        send_changes(requester, after);
}

void peer_controller::send_newer_configuration(link::connection& peer, std::uint64_t version) {
    auto const* configuration = board_.publications.find(publication_kind::configuration, {});
    if (configuration == nullptr || configuration->version <= version)
        return;
    // Says nothing of other changes, so it confirms no revision.
    wire::schema::PublicationsT message;
    message.records.push_back(std::make_unique<wire::schema::PublicationRecordT>(encode(*configuration)));
    peer.send(message);
}

void peer_controller::send_changes(link::connection& peer, forwarding::store_revision const& after) {
    wire::schema::PublicationsT message;
    auto const now = base::clock::now();
    message.as_of = store_.confirmed_revision().number;
    message.era = store_.confirmed_revision().era;
    message.sent_at_ms =
        static_cast<std::uint64_t>(std::chrono::duration_cast<base::milliseconds>(now.time_since_epoch()).count());
    message.age_ms = static_cast<std::uint32_t>(
        std::chrono::ceil<base::milliseconds>(now - store_.confirmed_at().value_or(now)).count());
    for (auto const& change : board_.publications.since(after))
        message.records.push_back(std::make_unique<wire::schema::PublicationRecordT>(encode(change)));
    peer.send(message);
}

void peer_controller::relay_confirmation() {
    if (base::clock::now() - last_relay_at_ >= relay_interval && store_.confirmed_at() > relayed_confirmation_)
        relay_changes();
}

void peer_controller::relay_changes() {
    auto const now = base::clock::now();
    auto const confirmed_at = store_.confirmed_at();
    // Followers read the store themselves when all that they are told is older.
    if (followers_.empty() || !confirmed_at || !forwarding::store_knowledge::is_recent(*confirmed_at, now))
        return;
    last_relay_at_ = now;
    relayed_confirmation_ = *confirmed_at;
    // A send can close a connection, which removes its follower from the table, so the loop uses a copy.
    for (auto& [number, follower] : std::map{followers_}) {
        if (auto const kept = followers_.find(number); kept != followers_.end())
            kept->second.relayed_revision = store_.confirmed_revision();
        send_changes(*follower.connection, follower.relayed_revision);
    }
}

void peer_controller::on_connected(link::connection& peer) {
    if (peer.peer().role != hub_.self().role)
        return;
    auto request = make_request();
    request.follow = uses_relays_;
    peer.send(request);
}

void peer_controller::on_disconnected(link::connection& peer, base::error const&) {
    followers_.erase(peer.number());
    relays_.remove(peer.peer().process);
}

void peer_controller::apply_changes(wire::schema::PublicationsT const& message, std::string const& peer) {
    std::vector<publication> changes;
    for (auto const& record : message.records) {
        if (record->kind <= static_cast<std::uint8_t>(publication_kind::target))
            changes.push_back(decode(*record));
    }
    publications_.apply(std::move(changes), peer);
    forwarding::store_revision const as_of{message.era, message.as_of};
    if (as_of == forwarding::store_revision{})
        return;
    if (uses_relays_)
        relays_.on_report(peer,
                          {as_of, base::milliseconds{std::min(message.sent_at_ms, largest_clock_ms)},
                           base::milliseconds{message.age_ms}},
                          base::clock::now());
    received_revision_ = std::max(received_revision_, as_of);
    board_.targets_listed = true;
}

} // namespace cyclamenledge::forwarding_entry
