#include "process/configuration_client.h"

#include "http/client.h"

#include <string>
#include <utility>

namespace cyclamenledge::process {

namespace asio = boost::asio;

namespace {

using http::beast_http::status;
using http::beast_http::verb;

constexpr base::milliseconds connect_timeout{2000};
/// Response timeout in addition to the requested wait.
constexpr base::milliseconds answer_timeout{4000};
/// Fits 1,024 parts with 19 bytes each and the other fields.
constexpr std::size_t maximum_index_bytes = 64UL * 1024;

base::error unexpected_status(http::response const& answer) {
    return base::make_error(base::error_kind::io_failed,
                            "the configuration service answered " + std::to_string(answer.result_int()));
}

} // namespace

asio::awaitable<base::result<std::optional<configuration::publication_index>>>
configuration_client::read_index(std::uint64_t after, base::milliseconds wait) const {
    auto const path = "/v1/catalogue?after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
    auto message = http::make_request(verb::get, path, {});
    http::client_timeouts const timeouts{connect_timeout, answer_timeout + wait};
    auto answer = co_await http::exchange(service_, std::move(message), timeouts, maximum_index_bytes);
    if (!answer)
        co_return answer.error().cause;
    if (answer.value().result() == status::not_modified)
        co_return std::optional<configuration::publication_index>{};
    if (answer.value().result() != status::ok)
        co_return unexpected_status(answer.value());
    BOOST_OUTCOME_CO_TRY(auto index, configuration::read_index(answer.value().body()));
    co_return std::optional{std::move(index)};
}

asio::awaitable<base::result<configuration::part_pointer>> configuration_client::read_part(std::uint64_t digest) const {
    auto const path = "/v1/parts/" + configuration::digest_text(digest);
    auto message = http::make_request(verb::get, path, {});
    http::client_timeouts const timeouts{connect_timeout, answer_timeout};
    auto answer = co_await http::exchange(service_, std::move(message), timeouts, configuration::maximum_part_bytes);
    if (!answer)
        co_return answer.error().cause;
    if (answer.value().result() != status::ok)
        co_return unexpected_status(answer.value());
    co_return configuration::part_pointer{new configuration::part{std::move(answer.value().body())}};
}

} // namespace cyclamenledge::process
