#include "config_standin.h"

#include "requests.h"
#include "yaml_reader/file.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <tuple>
#include <utility>

namespace cyclamenledge::standin {

namespace asio = boost::asio;

namespace {

/// How often a watch looks for a change.
constexpr base::milliseconds watch_step{10};
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;
constexpr std::string_view parts_path = "/v1/parts/";

/// The revision that a document states. The service itself doesn't validate documents.
std::uint64_t revision_of(std::string_view text) {
    constexpr std::string_view key = "\nrevision: ";
    auto const found = text.find(key);
    std::uint64_t revision = 0;
    if (found != std::string_view::npos)
        std::from_chars(text.data() + found + key.size(), text.data() + text.size(), revision);
    return revision;
}

http::response not_found() {
    return http::make_error_response(base::make_error(base::error_kind::not_found, "no such part or path"));
}

} // namespace

void config_standin::add_options(CLI::App& options) {
    options.add_option("--listen", address_, "Address, as IP:PORT")->required();
    options.add_option("--catalogue", file_, "Catalogue that is published first")->required();
}

base::result<void> config_standin::start(asio::io_context& context) {
    BOOST_OUTCOME_TRY(auto const text, yaml_reader::read_file(file_));
    publish(text);
    server_.emplace(context, http::server_limits{}, *this);
    return server_->listen(address_);
}

void config_standin::publish(std::string const& text) {
    newest_ = configuration::split_document(text, revision_of(text));
    for (auto const& piece : newest_.parts)
        parts_[piece->digest()] = piece;
}

asio::awaitable<void> config_standin::handle(http::session_pointer client, http::request received) {
    std::string const target{received.target().data(), received.target().size()};
    if (target == "/faults") {
        std::ignore = co_await client->send(set_faults(received));
        co_return;
    }
    if (target == "/calls") {
        std::ignore = co_await client->send(answer_calls());
        co_return;
    }
    if (slow_ms_ > 0) {
        asio::steady_timer timer{client->executor(), base::milliseconds{static_cast<std::int64_t>(slow_ms_)}};
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (down_) {
        client->end_after_answer();
        client->close();
    } else if (target.starts_with("/v1/catalogue")) {
        co_await answer_catalogue(client, target);
    } else if (target.starts_with(parts_path)) {
        co_await answer_part(client, target);
    } else {
        std::ignore = co_await client->send(not_found());
    }
}

asio::awaitable<void> config_standin::answer_catalogue(http::session_pointer client, std::string const& target) {
    auto const after = query_number(target, "after");
    auto const wait = base::milliseconds{static_cast<std::int64_t>(query_number(target, "wait_ms"))};
    ++(wait.count() > 0 ? watch_calls_ : index_calls_);
    auto const end = base::clock::now() + wait;
    while (!down_ && visible().index.revision == after && base::clock::now() < end) {
        asio::steady_timer pause{client->executor(), watch_step};
        co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    if (down_) {
        client->end_after_answer();
        client->close();
        co_return;
    }
    auto const& shown = visible().index;
    auto answer = http::make_response(status_not_modified, "application/json", {});
    if (shown.revision != after)
        answer = http::make_response(status_ok, "application/json", configuration::write_index(shown));
    std::ignore = co_await client->send(std::move(answer));
}

asio::awaitable<void> config_standin::answer_part(http::session_pointer client, std::string const& target) {
    ++part_calls_;
    auto const digest = configuration::parse_digest(std::string_view{target}.substr(parts_path.size()));
    auto const found = digest ? parts_.find(digest.value()) : parts_.end();
    if (found == parts_.end())
        std::ignore = co_await client->send(not_found());
    else
        std::ignore =
            co_await client->send(http::make_response(status_ok, "application/octet-stream", found->second->text()));
}

http::response config_standin::set_faults(http::request const& received) {
    auto const fields = parse_object(received.body());
    if (fields.contains("slow_ms"))
        slow_ms_ = number_of(fields, "slow_ms");
    read_flag(fields, "down", down_);
    bool const was_stale = stale_;
    read_flag(fields, "stale", stale_);
    if (stale_ && !was_stale)
        frozen_ = newest_;
    if (auto const* text = fields.if_contains("publish"); text != nullptr && text->is_string())
        publish(std::string{text->get_string()});
    return json_answer(status_ok, {{"revision", newest_.index.revision}});
}

http::response config_standin::answer_calls() const {
    return json_answer(status_ok, {{"index", index_calls_}, {"watch", watch_calls_}, {"parts", part_calls_}});
}

} // namespace cyclamenledge::standin
