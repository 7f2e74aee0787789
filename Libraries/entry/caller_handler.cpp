#include "entry/caller_handler.h"

#include "base/digest.h"
#include "entry/call_session.h"
#include "entry/generation_session.h"
#include "entry/key_inquiry.h"
#include "entry/keyed_call_session.h"
#include "once/caller_refusal.h"
#include "process/operator_handler.h"

#include <algorithm>
#include <charconv>
#include <memory>
#include <tuple>
#include <utility>

namespace cyclamenledge::entry {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view deadline_header = "X-Request-Deadline-Ms";
constexpr std::string_view priority_header = "X-Request-Priority";
constexpr std::uint32_t maximum_deadline_ms = 24U * 3600 * 1000;
constexpr base::milliseconds leaving_retry{1000};
constexpr std::string_view keys_prefix = "/v1/idempotency-keys/";
constexpr unsigned status_created = 201;

base::result<std::optional<std::uint32_t>> number_header(http::request const& received, std::string_view name) {
    auto const text = http::header_value(received, name);
    if (text.empty())
        return std::optional<std::uint32_t>{};
    std::uint32_t value = 0;
    auto const [end, code] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (code != std::errc{} || end != text.data() + text.size())
        return base::make_error(base::error_kind::bad_request, std::string(name) + " must be a whole number");
    return std::optional{value};
}

} // namespace

std::span<caller_handler::route_row const> caller_handler::routes() {
    static constexpr route_row rows[] = {
        {"/v1/completions", path_match::exact, &caller_handler::serve_completion},
        {"/v1/services/", path_match::prefix, &caller_handler::serve_call},
        {"/v1/idempotency-keys", path_match::exact, &caller_handler::serve_key_issue},
        {"/v1/idempotency-keys/", path_match::prefix, &caller_handler::serve_key_inquiry},
        {"/healthz", path_match::exact, &caller_handler::serve_health},
        {"/readyz", path_match::exact, &caller_handler::serve_readiness},
    };
    return rows;
}

boost::asio::awaitable<void> caller_handler::handle(http::session_pointer client, http::request received) {
    std::string_view const target{received.target().data(), received.target().size()};
    auto const path = target.substr(0, target.find('?'));
    auto const rows = routes();
    auto const row = std::ranges::find_if(rows, [&](route_row const& candidate) {
        return candidate.match == path_match::exact ? path == candidate.path : path.starts_with(candidate.path);
    });
    if (row == rows.end())
        co_await refuse(client, base::make_error(base::error_kind::not_found, "no such path"));
    else
        co_await (this->*row->serve)(client, received);
}

boost::asio::awaitable<void> caller_handler::refuse(http::session_pointer client, base::error reason) {
    daemon_.metrics().add(metrics::counter_kind::answers_refused);
    std::ignore = co_await client->send(http::make_error_response(reason));
}

boost::asio::awaitable<void> caller_handler::serve_health(http::session_pointer client, http::request const&) {
    std::ignore = co_await client->send(process::operator_handler::health(daemon_, role_));
}

boost::asio::awaitable<void> caller_handler::serve_readiness(http::session_pointer client, http::request const&) {
    std::ignore = co_await client->send(process::operator_handler::readiness(daemon_, role_));
}

base::result<caller> caller_handler::identify(http::request const& received, std::string_view service) const {
    using base::error_kind;
    auto const authorization = http::header_value(received, "Authorization");
    if (!authorization.starts_with(bearer_prefix))
        return base::make_error(error_kind::unauthorised, "a bearer key is needed");
    caller found;
    found.catalogue = board_.catalogue.with([](auto const& published) { return published; });
    if (!found.catalogue)
        return base::make_error(error_kind::no_target, "this entry has no catalogue yet");
    found.organisation =
        found.catalogue->find_by_bearer_digest(base::sha256_hex(authorization.substr(bearer_prefix.size())));
    if (found.organisation == nullptr)
        return base::make_error(error_kind::unauthorised, "the bearer key is not known");
    found.service = found.catalogue->find_service(service);
    auto const& allowed = found.organisation->services;
    if (found.service == nullptr || std::ranges::find(allowed, service) == allowed.end())
        return base::make_error(error_kind::forbidden, "the organisation may not call this service");
    found.service_class = found.catalogue->find_service_class(found.organisation->service_class);

    BOOST_OUTCOME_TRY(auto const priority, number_header(received, priority_header));
    found.priority = std::min(priority.value_or(found.service_class->priority), found.service_class->priority);
    BOOST_OUTCOME_TRY(auto const deadline, number_header(received, deadline_header));
    if (deadline && (*deadline == 0 || *deadline > maximum_deadline_ms))
        return base::make_error(error_kind::bad_request, std::string(deadline_header) + " must be from 1 to 86400000");
    if (deadline)
        found.deadline = base::clock::now() + base::milliseconds{*deadline};
    return found;
}

boost::asio::awaitable<void> caller_handler::serve_completion(http::session_pointer client,
                                                              http::request const& received) {
    daemon_.metrics().add(metrics::counter_kind::requests);
    if (received.method() != http::beast_http::verb::post) {
        co_await refuse(client, base::make_error(base::error_kind::bad_request, "completions are requested by POST"));
        co_return;
    }
    auto request = parse_completion_request(received.body());
    if (!request) {
        co_await refuse(client, request.error());
        co_return;
    }
    auto from = identify(received, request.value().model);
    if (from && from.value().service->kind != catalogue::service_kind::generation)
        from = base::make_error(base::error_kind::bad_request, "this service does not generate text");
    if (!from) {
        co_await refuse(client, from.error());
        co_return;
    }
    if (!daemon_.begin_request()) {
        client->end_after_answer();
        co_await refuse(client, base::make_error(base::error_kind::leaving, "this process is stopping", leaving_retry));
        co_return;
    }
    process::request_guard const guard{daemon_};
    auto ticket = co_await limits_.admit(from.value().organisation->name, from.value().deadline, client->executor());
    if (!ticket) {
        co_await refuse(client, ticket.error());
        co_return;
    }
    from.value().ticket = std::move(ticket).value();
    auto const identifier =
        std::to_string(daemon_.identity().incarnation % 1000000) + "-" + std::to_string(next_request_.fetch_add(1));
    auto writer = make_completion_writer(client, request.value().stream, identifier, request.value().model);
    auto const session =
        std::make_shared<generation_session>(daemon_, board_, links_, poison_, std::move(from).value(),
                                             std::move(request).value(), std::move(writer), client->executor());
    client->watch_for_close([session] { session->on_caller_gone(); });
    co_await session->run();
}

base::result<caller> caller_handler::identify_for_plain(http::request const& received, std::string_view service) const {
    BOOST_OUTCOME_TRY(auto from, identify(received, service));
    if (from.service->kind != catalogue::service_kind::plain)
        return base::make_error(base::error_kind::bad_request, "this service generates text");
    return from;
}

boost::asio::awaitable<void> caller_handler::serve_call(http::session_pointer client, http::request const& received) {
    daemon_.metrics().add(metrics::counter_kind::requests);
    auto const path = parse_service_path({received.target().data(), received.target().size()});
    if (!path) {
        co_await refuse(client, path.error());
        co_return;
    }
    auto from = identify_for_plain(received, path.value().service);
    if (!from) {
        co_await refuse(client, from.error());
        co_return;
    }
    auto call = make_plain_call(*from.value().service, path.value().path, received);
    if (!call) {
        co_await refuse(client, call.error());
        co_return;
    }
    bool const keyed = call.value().key.has_value();
    if (!daemon_.begin_request()) {
        client->end_after_answer();
        auto reason = base::make_error(base::error_kind::leaving, "this process is stopping", leaving_retry);
        if (keyed)
            reason = once::caller_refusal(reason);
        co_await refuse(client, std::move(reason));
        co_return;
    }
    process::request_guard const guard{daemon_};
    std::shared_ptr<call_exchange> session;
    if (keyed)
        session = std::make_shared<keyed_call_session>(daemon_, board_, links_, std::move(from).value(),
                                                       std::move(call).value(), client);
    else
        session = std::make_shared<call_session>(daemon_, board_, links_, std::move(from).value(),
                                                 std::move(call).value(), client);
    client->watch_for_close([session] { session->on_caller_gone(); });
    co_await session->run();
}

boost::asio::awaitable<void> caller_handler::serve_key_issue(http::session_pointer client,
                                                             http::request const& received) {
    if (received.method() != http::beast_http::verb::post) {
        co_await refuse(client, base::make_error(base::error_kind::bad_request, "keys are issued by POST"));
        co_return;
    }
    auto const now = std::chrono::floor<base::milliseconds>(std::chrono::system_clock::now());
    std::string body;
    {
        std::scoped_lock const lock{random_mutex_};
        body = R"({"key":")" + once::idempotency_key::issue(now, random_).text() + "\"}\n";
    }
    std::ignore = co_await client->send(http::make_response(status_created, "application/json", std::move(body)));
}

boost::asio::awaitable<void> caller_handler::serve_key_inquiry(http::session_pointer client,
                                                               http::request const& received) {
    std::string_view path{received.target().data(), received.target().size()};
    path = path.substr(keys_prefix.size());
    auto const separator = std::min(path.find('/'), path.size());
    auto from = identify_for_plain(received, path.substr(0, separator));
    if (from && received.method() != http::beast_http::verb::get)
        from = base::make_error(base::error_kind::bad_request, "the outcome of a key is read by GET");
    if (!from) {
        co_await refuse(client, from.error());
        co_return;
    }
    auto key = once::idempotency_key::parse(path.substr(std::min(separator + 1, path.size())));
    if (!key) {
        co_await refuse(client, key.error());
        co_return;
    }
    auto const inquiry = std::make_shared<key_inquiry>(board_, links_, std::move(from).value(), std::move(key).value(),
                                                       client->executor());
    std::ignore = co_await client->send(co_await inquiry->run());
}

} // namespace cyclamenledge::entry
