#include "vms_standin.h"

#include "requests.h"

#include <boost/json/array.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cyclamenledge::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;

} // namespace

void vms_standin::add_options(CLI::App& options) {
    options.add_option("--listen", address_, "Address, as IP:PORT")->required();
    options.add_option("--vm", names_, "A live VM; may be repeated")->required();
    options.add_option("--lag-ms", lag_ms_, "Time until the list shows a change")->capture_default_str();
}

base::result<void> vms_standin::start(asio::io_context& context) {
    for (auto const& vm : names_)
        shown_[vm] = "live";
    server_.emplace(context, http::server_limits{}, *this);
    return server_->listen(address_);
}

asio::awaitable<void> vms_standin::handle(http::session_pointer client, http::request received) {
    std::string const target{received.target().data(), received.target().size()};
    if (target == "/faults")
        std::ignore = co_await client->send(set_faults(received));
    else if (target == "/calls")
        std::ignore = co_await client->send(answer_calls());
    else
        std::ignore = co_await client->send(answer_list(received));
}

void vms_standin::show_due_changes() {
    while (!pending_.empty() && pending_.front().visible_at <= base::clock::now()) {
        auto const next = std::move(pending_.front());
        pending_.pop_front();
        ++version_;
        if (next.state == "gone")
            shown_.erase(next.vm);
        else
            shown_[next.vm] = next.state;
    }
}

http::response vms_standin::answer_list(http::request const& received) {
    ++calls_;
    show_due_changes();
    auto const tag = "\"" + std::to_string(version_) + "\"";
    if (http::header_value(received, "If-None-Match") == tag)
        return http::make_response(status_not_modified, "application/json", {});
    json::array list;
    for (auto const& [vm, state] : shown_)
        list.emplace_back(json::object{{"name", vm}, {"state", state}});
    auto answer = json_answer(status_ok, {{"vms", std::move(list)}});
    answer.set(http::beast_http::field::etag, tag);
    return answer;
}

http::response vms_standin::answer_calls() const {
    return json_answer(status_ok, {{"list", calls_}});
}

http::response vms_standin::set_faults(http::request const& received) {
    auto const fields = parse_object(received.body());
    if (fields.contains("lag_ms"))
        lag_ms_ = number_of(fields, "lag_ms");
    auto const* vm = fields.if_contains("vm");
    auto const* state = fields.if_contains("state");
    if (vm != nullptr && state != nullptr && vm->is_string() && state->is_string()) {
        auto const lag = base::milliseconds{static_cast<std::int64_t>(lag_ms_)};
        // Changes are shown in order, also after the lag became shorter.
        auto const earliest = pending_.empty() ? base::time_point::min() : pending_.back().visible_at;
        pending_.push_back({std::max(base::clock::now() + lag, earliest), std::string{vm->get_string()},
                            std::string{state->get_string()}});
    }
    return json_answer(status_ok, {});
}

} // namespace cyclamenledge::standin
