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
            answer(asking, request.after);
        });
    hub_.handle<wire::schema::PublicationsT>(
        [this](link::connection& peer, wire::schema::PublicationsT const& message) {
            take(message, peer.peer().process);
        });
}

void peer_controller::start(std::vector<std::string> const& peers, std::string const& own_address) {
    for (auto const& peer : peers) {
        if (peer != own_address)
            hub_.connect_address(peer);
    }
    asio::co_spawn(context_, ask_while_out_of_step(), asio::detached);
}

asio::awaitable<void> peer_controller::ask_while_out_of_step() {
    asio::steady_timer timer{context_};
    while (true) {
        timer.expires_after(ask_interval);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!store_.in_step(base::clock::now()))
            ask();
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
    auto const confirmed = store_.confirmed_revision();
    if (confirmed <= after || !store_.in_step(base::clock::now()))
        return;
    wire::schema::PublicationsT message;
    message.as_of = confirmed;
    for (auto const& item : board_.publications.since(after))
        message.records.push_back(std::make_unique<wire::schema::PublicationRecordT>(encode(item)));
    asking.send(message);
}

void peer_controller::take(wire::schema::PublicationsT const& message, std::string const& peer) {
    std::vector<publication> changes;
    for (auto const& record : message.records) {
        if (record->kind <= static_cast<std::uint8_t>(publication_kind::target))
            changes.push_back(decode(*record));
    }
    publications_.apply(std::move(changes), peer);
    told_up_to_ = std::max(told_up_to_, message.as_of);
    board_.targets_known = true;
}

} // namespace cyclamenledge::forwarding_entry
