#include "service_standin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <cstdlib>
#include <tuple>
#include <utility>

namespace cyclamenledge::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view json_type = "application/json";
constexpr unsigned status_ok = 200;
constexpr unsigned status_created = 201;
constexpr int crash_status = 3;
constexpr base::milliseconds silent_poll{20};

http::response json_answer(unsigned status, json::object const& body) {
    return http::make_response(status, json_type, json::serialize(body) + "\n");
}

void read_flag(json::object const& fields, char const* name, bool& value) {
    if (auto const* field = fields.if_contains(name); field != nullptr && field->is_bool())
        value = field->as_bool();
}

} // namespace

void service_standin::add_options(CLI::App& options) {
    options.add_option("--listen", address_, "Address, as IP:PORT")->required();
}

base::result<void> service_standin::start(asio::io_context& context) {
    server_ = std::make_unique<http::server>(context, limits_, *this);
    return server_->listen(address_);
}

asio::awaitable<void> service_standin::handle(http::session_pointer client, http::request received) {
    std::string_view const target{received.target().data(), received.target().size()};
    if (target == "/faults")
        std::ignore = co_await client->send(set_faults(received));
    else if (target == "/executions")
        std::ignore = co_await client->send(answer_executions());
    else
        co_await run(client, received);
}

http::response service_standin::set_faults(http::request const& received) {
    boost::system::error_code code;
    auto const parsed = json::parse(received.body(), code);
    if (code || !parsed.is_object())
        return http::make_error_response(base::make_error(base::error_kind::bad_request, "no JSON object"));
    auto const& fields = parsed.as_object();
    if (auto const* delay = fields.if_contains("delay_ms"); delay != nullptr)
        faults_.delay_ms = delay->to_number<std::uint64_t>(code);
    read_flag(fields, "drop_answer", faults_.drop_answer);
    read_flag(fields, "crash", faults_.crash);
    read_flag(fields, "silent", faults_.silent);
    read_flag(fields, "refuse", faults_.refuse);
    return json_answer(status_ok, json::object{});
}

http::response service_standin::answer_executions() const {
    json::object keys;
    for (auto const& [key, count] : by_key_)
        keys[key] = count;
    json::object body;
    body["total"] = executions_;
    body["by_key"] = std::move(keys);
    return json_answer(status_ok, body);
}

asio::awaitable<void> service_standin::wait(http::session_pointer client, base::milliseconds span) const {
    asio::steady_timer timer{client->executor(), span};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> service_standin::run(http::session_pointer client, http::request const& received) {
    while (faults_.silent)
        co_await wait(client, silent_poll);
    if (faults_.refuse) {
        std::ignore = co_await client->send(
            http::make_error_response(base::make_error(base::error_kind::overloaded, "the service refuses")));
        co_return;
    }
    ++executions_;
    std::string const key{http::header_value(received, "Idempotency-Key")};
    auto const count = key.empty() ? 0 : ++by_key_[key];
    auto const faults = faults_;
    if (faults.delay_ms > 0)
        co_await wait(client, base::milliseconds{static_cast<std::int64_t>(faults.delay_ms)});
    if (faults.crash)
        std::_Exit(crash_status);
    if (faults.drop_answer) {
        client->end_after_answer();
        client->close();
        co_return;
    }
    std::string const target{received.target().data(), received.target().size()};
    std::string const method{received.method_string().data(), received.method_string().size()};
    json::object body;
    body["method"] = method;
    body["path"] = target;
    body["body"] = received.body();
    body["key"] = key;
    body["execution"] = count;
    std::ignore = co_await client->send(json_answer(status_created, body));
}

} // namespace cyclamenledge::standin
