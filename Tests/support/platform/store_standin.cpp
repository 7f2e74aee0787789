#include "support/platform/store_standin.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>
#include <openssl/evp.h>

#include <charconv>
#include <tuple>
#include <utility>

namespace cyclamenledge::platform::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr base::seconds silence{30};

std::string encode_base64(std::string const& bytes) {
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    auto const length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<unsigned char const*>(bytes.data()), static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string parameter(boost::urls::url_view const& target, std::string_view name) {
    for (auto const& item : target.params()) {
        if (item.key == name)
            return item.value;
    }
    return {};
}

std::uint64_t number(std::string const& text) {
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

http::response json_answer(json::object const& content) {
    return http::make_response(200, "application/json", json::serialize(content));
}

} // namespace

store_standin::store_standin(asio::io_context& context)
    : context_(context)
    , server_(context, {}, *this) {}

void store_standin::put(std::string const& key, std::string const& value) {
    items_[key] = {value, ++revision_, false};
    wake_watches();
}

void store_standin::remove(std::string const& key) {
    if (auto const found = items_.find(key); found != items_.end())
        found->second = {{}, ++revision_, true};
    wake_watches();
}

std::vector<std::string> store_standin::target_ids() const {
    constexpr std::string_view prefix = "servers/";
    std::vector<std::string> ids;
    for (auto const& [key, value] : items_) {
        if (key.starts_with(prefix) && !value.removed)
            ids.push_back(key.substr(prefix.size()));
    }
    return ids;
}

void store_standin::restore_copy() {
    items_ = copy_.items;
    revision_ = copy_.revision;
    ++era_;
    wake_watches();
}

void store_standin::set_mode(store_mode mode) {
    mode_ = mode;
    wake_watches();
}

void store_standin::wake_watches() {
    for (auto* timer : waiting_)
        timer->cancel();
}

http::response store_standin::list(std::string const& prefix, std::string const& after) const {
    if (last_listed_ && after >= *last_listed_)
        return http::make_response(200, "application/json", "{");
    json::array items;
    bool truncated = false;
    for (auto position = items_.upper_bound(after); position != items_.end() && !truncated; ++position) {
        auto const& [key, value] = *position;
        if (!key.starts_with(prefix) || value.removed)
            continue;
        truncated = items.size() == page_size_;
        if (!truncated)
            items.push_back(
                json::object{{"key", key}, {"value", encode_base64(value.value)}, {"revision", value.revision}});
    }
    return json_answer({{"items", std::move(items)}, {"asOf", revision_}, {"truncated", truncated}});
}

bool store_standin::has_change(std::string const& prefix, std::uint64_t after) const {
    for (auto const& [key, value] : items_) {
        if (key.starts_with(prefix) && value.revision > after)
            return true;
    }
    return false;
}

http::response store_standin::changes(std::string const& prefix, std::uint64_t after) const {
    json::array events;
    for (auto const& [key, value] : items_) {
        if (!key.starts_with(prefix) || value.revision <= after)
            continue;
        json::object event{{"key", key}, {"revision", value.revision}};
        if (value.removed)
            event["tombstone"] = true;
        else
            event["value"] = encode_base64(value.value);
        events.push_back(std::move(event));
    }
    return json_answer({{"events", std::move(events)}, {"asOf", revision_}});
}

asio::awaitable<void> store_standin::wait_for_change(std::string prefix, std::uint64_t after,
                                                     base::milliseconds longest) {
    auto const until = base::clock::now() + longest;
    auto const era = era_;
    while (mode_ == store_mode::serving && era == era_ && !has_change(prefix, after) && base::clock::now() < until) {
        asio::steady_timer timer{context_, until};
        waiting_.insert(&timer);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        waiting_.erase(&timer);
    }
}

asio::awaitable<void> store_standin::handle(http::session_pointer client, http::request received) {
    std::string const target{received.target().data(), received.target().size()};
    auto const parsed = boost::urls::parse_origin_form(target);
    if (!parsed) {
        ++malformed_calls_;
        std::ignore = co_await client->send(http::make_response(400, "text/plain", "malformed target"));
        co_return;
    }
    auto const prefix = parameter(*parsed, "prefix");
    auto const after = parameter(*parsed, "after");
    bool const listing = parsed->path() == "/-/kv-range";
    if (listing)
        ++page_calls_;
    else if (has_history(number(after)))
        co_await wait_for_change(prefix, number(after), base::milliseconds{number(parameter(*parsed, "waitMs"))});
    if (mode_ == store_mode::closing) {
        client->close();
        co_return;
    }
    if (mode_ == store_mode::silent) {
        asio::steady_timer timer{client->executor(), silence};
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        client->close();
        co_return;
    }
    http::response answer = http::make_response(503, "text/plain", "");
    if (mode_ == store_mode::serving && listing)
        answer = list(prefix, after);
    else if (mode_ == store_mode::serving && !has_history(number(after)))
        answer = http::make_response(410, "text/plain", "");
    else if (mode_ == store_mode::serving)
        answer = changes(prefix, number(after));
    answer.set("Store-Era", std::to_string(era_));
    std::ignore = co_await client->send(std::move(answer));
}

} // namespace cyclamenledge::platform::standin
