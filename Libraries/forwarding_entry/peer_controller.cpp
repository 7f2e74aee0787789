#include "forwarding_entry/peer_controller.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;
using forwarding::publication;
using forwarding::publication_kind;

namespace {

// Configurations have to be in force within a few seconds, also at an entry that the store turns away.
constexpr base::milliseconds ask_interval{300};
// Followers hear from this process at least this often, within two rounds of the loop.
constexpr base::milliseconds feed_interval{400};

wire::schema::PublicationRecordT encode(publication const& item) {
    wire::schema::PublicationRecordT record;
    record.kind = static_cast<std::uint8_t>(item.kind);
    record.name = item.name;
    record.revision = item.revision;
    record.removed = item.removed;
    record.text = item.text;
    return record;
}

publication decode(wire::schema::PublicationRecordT const& record) {
    return {static_cast<publication_kind>(record.kind), record.name, record.revision, record.removed, record.text};
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
        [this](link::connection& asking, wire::schema::PublicationRequestT const& request) {
            if (request.follow)
                followers_[asking.number()] = {link::connection_pointer{&asking}, request.after};
            answer(asking, request.after);
        });
    hub_.handle<wire::schema::PublicationsT>(
        [this](link::connection& peer, wire::schema::PublicationsT const& message) {
            take(message, peer.peer().process);
        });
}

void peer_controller::start(std::vector<std::string> const& peers, std::string const& own_address) {
    follows_ = std::ranges::find(peers, own_address) == peers.end();
    hub_.add_observer(*this);
    for (auto const& peer : peers) {
        if (peer != own_address)
            hub_.connect_address(peer);
    }
    asio::co_spawn(context_, keep_in_step(), asio::detached);
}

asio::awaitable<void> peer_controller::keep_in_step() {
    asio::steady_timer timer{context_};
    while (true) {
        timer.expires_after(ask_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        auto const now = base::clock::now();
        if (!store_.in_step(now))
            ask();
        if (now - told_at_ >= feed_interval)
            tell_followers();
    }
}

void peer_controller::ask() {
    wire::schema::PublicationRequestT request;
    request.after = std::max(store_.confirmed_revision(), told_up_to_);
    auto const own_role = hub_.self().role;
    for (auto const& connection : hub_.all()) {
        if (connection->peer().role == own_role)
            connection->send(request);
    }
}

void peer_controller::answer(link::connection& asking, std::uint64_t after) {
    // A process that does not follow the store itself may lack a change and must not claim to tell all of them.
    if (store_.confirmed_revision() > after && store_.in_step(base::clock::now()))
        send_changes(asking, after);
}

void peer_controller::send_changes(link::connection& peer, std::uint64_t after) {
    wire::schema::PublicationsT message;
    message.as_of = store_.confirmed_revision();
    for (auto const& item : board_.publications.since(after))
        message.records.push_back(std::make_unique<wire::schema::PublicationRecordT>(encode(item)));
    peer.send(message);
}

void peer_controller::tell_followers() {
    // Followers rely on what they hear, so only what the store itself has confirmed is told.
    if (followers_.empty() || !store_.watching(base::clock::now()))
        return;
    told_at_ = base::clock::now();
    // Sending can end a connection, which takes it out of the table.
    for (auto& [number, told] : std::map{followers_}) {
        if (auto const kept = followers_.find(number); kept != followers_.end())
            kept->second.told = store_.confirmed_revision();
        send_changes(*told.connection, told.told);
    }
}

void peer_controller::on_up(link::connection& peer) {
    if (!follows_ || peer.peer().role != hub_.self().role)
        return;
    wire::schema::PublicationRequestT request;
    request.after = std::max(store_.confirmed_revision(), told_up_to_);
    request.follow = true;
    peer.send(request);
}

void peer_controller::on_down(link::connection& peer, base::error const&) {
    followers_.erase(peer.number());
    feeds_.lose(peer.peer().process);
}

void peer_controller::take(wire::schema::PublicationsT const& message, std::string const& peer) {
    std::vector<publication> changes;
    for (auto const& record : message.records) {
        if (record->kind <= static_cast<std::uint8_t>(publication_kind::target))
            changes.push_back(decode(*record));
    }
    publications_.apply(std::move(changes), peer);
    if (follows_)
        feeds_.hear(peer, message.as_of, base::clock::now());
    told_up_to_ = std::max(told_up_to_, message.as_of);
    board_.targets_known = true;
}

} // namespace cyclamenledge::forwarding_entry
