#include "forwarding_entry/reservation_client.h"

#include "base/name_table.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

// Three times the round trip to the furthest region. When an agent takes longer, another engine is the better choice.
constexpr base::milliseconds answer_timeout{150};

constexpr base::name_table<reservation_reply, 4> reply_names{
    base::make_names({"granted", "refused", "silent", "withdrawn"})};

} // namespace

std::string_view name_of(reservation_reply reply) {
    return reply_names.name(reply);
}

reservation_client::reservation_client(asio::io_context& context, link::hub& hub, agent_directory& agents)
    : context_(context)
    , agents_(agents) {
    hub.handle<wire::schema::PlaceAnswerT>([this](link::connection&, wire::schema::PlaceAnswerT const& answer) {
        auto const found = pending_.find(answer.request);
        if (found == pending_.end())
            return;
        found->second->reply = answer.granted ? reservation_reply::granted : reservation_reply::refused;
        found->second->timer->cancel();
    });
}

asio::awaitable<reservation_reply> reservation_client::reserve(std::string engine_address,
                                                               wire::schema::PlaceRequestT message) {
    auto const agent = agents_.find(engine_address);
    if (!agent)
        co_return reservation_reply::unresponsive;
    auto const request = message.request;
    asio::steady_timer timer{context_, answer_timeout + base::milliseconds{message.wait_ms}};
    pending_reservation pending{&timer, reservation_reply::unresponsive};
    pending_[request] = &pending;
    agent->send(message);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    pending_.erase(request);
    // A grant that arrives after the timeout must not hold the reservation.
    if (pending.reply == reservation_reply::unresponsive || pending.reply == reservation_reply::withdrawn)
        release(engine_address, request);
    co_return pending.reply;
}

void reservation_client::stop_waiting(std::string const& request) {
    auto const found = pending_.find(request);
    if (found == pending_.end() || found->second->reply != reservation_reply::unresponsive)
        return;
    found->second->reply = reservation_reply::withdrawn;
    found->second->timer->cancel();
}

void reservation_client::release(std::string const& engine_address, std::string const& request, run_end const& end) {
    auto const agent = agents_.find(engine_address);
    if (!agent)
        return;
    wire::schema::PlaceEndT message;
    message.request = request;
    message.outcome = static_cast<std::uint8_t>(end.outcome);
    message.pace = static_cast<float>(end.stated_pace);
    agent->send(message);
}

} // namespace cyclamenledge::forwarding_entry
