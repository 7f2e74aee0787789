#include "forwarding_entry/stream_origin_client.h"

#include "forwarding_entry/agent_choice.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;

namespace {

// Two machines and a failure domain may fail at the same time.
constexpr std::size_t agents_told = 3;
// Agents that were started or lost since the stream began change the choice.
constexpr std::size_t agents_asked = 6;
// Five round trips to the furthest region.
constexpr base::milliseconds answer_timeout{250};

wire::schema::StreamOriginT make_origin(std::string const& request, std::optional<std::string> const& version) {
    wire::schema::StreamOriginT message;
    message.request = request;
    message.known = version.has_value();
    message.software_version = version.value_or("");
    return message;
}

} // namespace

stream_origin_client::stream_origin_client(asio::io_context& context, link::hub& hub)
    : context_(context)
    , hub_(hub) {
    hub_.handle<wire::schema::StreamOriginQuestionT>(
        [this](link::connection& source, wire::schema::StreamOriginQuestionT const& asked) {
            source.send(make_origin(asked.request, origins_.find(asked.request, base::clock::now())));
        });
    hub_.handle<wire::schema::StreamOriginT>(
        [this](link::connection&, wire::schema::StreamOriginT const& answer) { on_answer(answer); });
}

void stream_origin_client::publish(std::string const& request, std::string const& software_version) {
    origins_.add(request, software_version, base::clock::now());
    auto const message = make_origin(request, software_version);
    for (auto const& agent : choose_agents(hub_, request, agents_told))
        agent->send(message);
}

std::optional<std::string> stream_origin_client::find(std::string const& request) const {
    return origins_.find(request, base::clock::now());
}

void stream_origin_client::on_answer(wire::schema::StreamOriginT const& answer) {
    if (answer.known)
        origins_.add(answer.request, answer.software_version, base::clock::now());
    auto const [first, last] = questions_.equal_range(answer.request);
    for (auto asked = first; asked != last; ++asked) {
        auto& question = asked->second;
        question.unanswered -= std::min<std::size_t>(question.unanswered, 1);
        if (answer.known || question.unanswered == 0)
            question.timer.cancel();
    }
}

asio::awaitable<origin_answer> stream_origin_client::look_up(std::string request) {
    if (find(request))
        co_return origin_answer{};
    auto asked_processes = connected_entries(hub_);
    std::ranges::copy(choose_agents(hub_, request, agents_asked), std::back_inserter(asked_processes));
    if (asked_processes.empty())
        co_return origin_answer{};
    auto const asked =
        questions_.emplace(request, question{asio::steady_timer{context_, answer_timeout}, asked_processes.size()});
    wire::schema::StreamOriginQuestionT message;
    message.request = request;
    for (auto const& process : asked_processes)
        process->send(message);
    co_await asked->second.timer.async_wait(asio::as_tuple(asio::use_awaitable));
    auto const unanswered = asked->second.unanswered;
    questions_.erase(asked);
    co_return origin_answer{asked_processes.size(), unanswered};
}

} // namespace cyclamenledge::forwarding_entry
