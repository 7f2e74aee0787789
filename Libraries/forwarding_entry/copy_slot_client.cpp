#include "forwarding_entry/copy_slot_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

// Longer than most copy queues of one link take, shorter than the notice that an engine gets before it is reclaimed.
constexpr base::milliseconds maximum_wait{1300};

} // namespace

copy_slot_client::copy_slot_client(asio::io_context& context, link::hub& hub, agent_directory& agents)
    : context_(context)
    , agents_(agents) {
    hub.handle<wire::schema::LinkTurnT>([this](link::connection&, wire::schema::LinkTurnT const& grant) {
        if (auto const found = waiting_.find(grant.request); found != waiting_.end())
            found->second->cancel();
    });
}

asio::awaitable<void> copy_slot_client::acquire_slot(slot_request slot) {
    auto const agent = agents_.find(slot.engine);
    if (!agent)
        co_return;
    wire::schema::LinkTurnRequestT message;
    message.request = slot.request;
    message.tokens = slot.tokens;
    message.remaining_ms = static_cast<std::uint32_t>(slot.remaining.count());
    agent->send(message);
    asio::steady_timer timer{context_, maximum_wait};
    waiting_[slot.request] = &timer;
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    waiting_.erase(slot.request);
}

void copy_slot_client::release_slot(std::string const& engine, std::string const& request) {
    auto const connection = agents_.find(engine);
    if (!connection)
        return;
    wire::schema::LinkTurnDoneT message;
    message.request = request;
    connection->send(message);
}

} // namespace cyclamenledge::forwarding_entry
