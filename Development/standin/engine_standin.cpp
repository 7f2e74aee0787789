#include "engine_standin.h"

#include "base/hash.h"
#include "base/random.h"
#include "requests.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <random>
#include <tuple>
#include <utility>

namespace cyclamenledge::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view generations_path = "/v1/generations";
constexpr base::milliseconds idle_step{2};
constexpr std::size_t bytes_per_token = 4;
constexpr std::size_t prefix_bytes = 64;
constexpr double length_sigma = 0.9;
constexpr unsigned status_ok = 200;
constexpr unsigned status_conflict = 409;

http::response not_found() {
    return http::make_error_response(base::make_error(base::error_kind::not_found, "no such generation"));
}

std::string text_of(json::object const& fields, std::string_view name) {
    auto const* value = fields.if_contains(json::string_view{name.data(), name.size()});
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string{};
}

std::uint32_t parse_number(std::string_view text) {
    std::uint32_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::uint32_t value_after(std::string_view text, std::string_view name) {
    auto const found = text.find(name);
    return found == std::string_view::npos ? 0 : parse_number(text.substr(found + name.size()));
}

} // namespace

void engine_standin::add_options(CLI::App& options) {
    options.add_option("--listen", address_, "Address, as IP:PORT")->required();
    options.add_option("--memory-tokens", parameters_.memory_tokens, "Key-value memory in tokens")
        ->capture_default_str();
    options.add_option("--maximum-batch", parameters_.maximum_batch, "Streams in one step")->capture_default_str();
    options.add_option("--speed", speed_, "Divides all step times")->capture_default_str();
    options.add_option("--mean-length", mean_length_, "Mean output length in tokens")->capture_default_str();
    options.add_option("--cold-ms", cold_ms_, "Length of the cold phase after a start, 0 for none")
        ->capture_default_str();
    options.add_option("--restart-ms", restart_ms_, "Time from a crash to the next start")->capture_default_str();
    options.add_flag("--check-fencing", check_fencing_, "Refuse orders with an old fencing number");
}

base::result<void> engine_standin::start(asio::io_context& context) {
    context_ = &context;
    auto const scale = [&](base::duration& value) { value = base::from_seconds(base::to_seconds(value) / speed_); };
    for (auto* value : {&parameters_.step_base, &parameters_.step_per_stream, &parameters_.step_per_thousand_held,
                        &parameters_.prefill_per_token})
        scale(*value);
    parameters_.cold_duration = base::milliseconds{cold_ms_};
    incarnation_base_ = base::random_seed() >> 16U;
    started_at_ = base::clock::now();
    engine_.emplace(parameters_, started_at_, cold_ms_ > 0);
    server_.emplace(context, http::server_limits{}, *this);
    BOOST_OUTCOME_TRYV(server_->listen(address_));
    asio::co_spawn(context, drive(), asio::detached);
    return base::success();
}

asio::awaitable<void> engine_standin::drive() {
    asio::steady_timer timer{*context_};
    while (true) {
        auto const now = base::clock::now();
        for (auto const& event : engine_->advance(now))
            take(event);
        if (up_ && !engine_->up())
            crash();
        timer.expires_at(engine_->next_step_end().value_or(now + idle_step));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

void engine_standin::take(engine_model::engine_event const& event) {
    using engine_model::engine_event_kind;
    if (event.kind == engine_event_kind::preempted)
        ++preemptions_;
    auto const found = by_number_.find(event.id);
    if (found == by_number_.end())
        return;
    auto const item = found->second;
    if (event.kind == engine_event_kind::token)
        item->produced = std::max(item->produced, event.index + 1);
    if (event.kind == engine_event_kind::completed)
        item->finish = "stop";
    if (event.kind == engine_event_kind::cancelled)
        item->finish = "cancelled";
    if (event.kind == engine_event_kind::failed)
        item->lost = true;
    item->changed->cancel();
}

void engine_standin::crash() {
    up_ = false;
    if (engine_->up())
        engine_->crash(base::clock::now());
    for (auto const& [id, item] : by_id_) {
        item->lost = true;
        item->changed->cancel();
    }
    by_id_.clear();
    by_number_.clear();
    asio::co_spawn(*context_, restart_later(), asio::detached);
}

asio::awaitable<void> engine_standin::restart_later() {
    asio::steady_timer timer{*context_, base::milliseconds{restart_ms_}};
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    started_at_ = base::clock::now();
    engine_->restart(started_at_);
    up_ = true;
}

asio::awaitable<void> engine_standin::stay_silent(http::session_pointer client) {
    asio::steady_timer timer{client->executor()};
    while (silent_) {
        timer.expires_after(idle_step);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

asio::awaitable<void> engine_standin::handle(http::session_pointer client, http::request received) {
    using http::beast_http::verb;
    std::string const target{received.target().data(), received.target().size()};
    if (target == "/faults") {
        std::ignore = co_await client->send(set_faults(received));
        co_return;
    }
    co_await stay_silent(client);
    if (!up_) {
        client->end_after_answer();
        co_return;
    }
    if (target == "/v1/load") {
        std::ignore = co_await client->send(answer_load());
    } else if (target == "/v1/orders") {
        std::ignore = co_await client->send(answer_order(received));
    } else if (target == generations_path && received.method() == verb::post) {
        co_await start_generation(client, received);
    } else if (target == generations_path) {
        std::ignore = co_await client->send(answer_live());
    } else {
        auto const id = target.substr(std::min(target.size(), generations_path.size() + 1));
        auto const plain_id = id.substr(0, id.find('?'));
        auto const found = by_id_.find(plain_id);
        if (received.method() == verb::delete_)
            std::ignore = co_await client->send(cancel(plain_id));
        else if (found == by_id_.end())
            std::ignore = co_await client->send(not_found());
        else
            co_await stream(client, found->second, value_after(id, "from="));
    }
}

std::uint32_t engine_standin::choose_length(std::string const& prompt, std::uint32_t maximum) const {
    auto length = value_after(prompt, "length=");
    if (length == 0) {
        base::random_source random{base::hash_text(prompt)};
        std::lognormal_distribution<double> lengths{
            std::log(static_cast<double>(mean_length_)) - length_sigma * length_sigma / 2, length_sigma};
        length = 1 + static_cast<std::uint32_t>(lengths(random.engine()));
    }
    return maximum == 0 ? length : std::min(length, maximum);
}

asio::awaitable<void> engine_standin::start_generation(http::session_pointer client, http::request const& received) {
    auto const fields = parse_object(received.body());
    auto const prompt = text_of(fields, "prompt");
    if (!crash_on_.empty() && prompt.find(crash_on_) != std::string::npos) {
        crash();
        client->end_after_answer();
        co_return;
    }
    auto item = std::make_shared<generation>();
    item->id = text_of(fields, "id");
    item->tag = prompt.substr(0, prompt.find(' '));
    item->length = choose_length(prompt, static_cast<std::uint32_t>(number_of(fields, "max_tokens")));
    item->changed = std::make_shared<asio::steady_timer>(*context_);

    engine_model::generation_request request;
    request.id = next_number_++;
    request.prompt_tokens = static_cast<std::uint32_t>((prompt.size() + bytes_per_token - 1) / bytes_per_token);
    request.output_tokens = item->length;
    request.priority = static_cast<std::uint32_t>(number_of(fields, "priority"));
    request.prefix = base::hash_text(std::string_view{prompt}.substr(0, prefix_bytes));
    request.prefix_tokens = std::min<std::uint32_t>(request.prompt_tokens, prefix_bytes / bytes_per_token);
    if (by_id_.contains(item->id) || !engine_->submit(request, base::clock::now())) {
        std::ignore = co_await client->send(http::make_error_response(
            base::make_error(base::error_kind::overloaded, "the engine cannot take the generation")));
        co_return;
    }
    by_id_.emplace(item->id, item);
    by_number_.emplace(request.id, item);
    co_await stream(client, item, 0);
}

asio::awaitable<void> engine_standin::stream(http::session_pointer client, generation_pointer source,
                                             std::uint32_t from) {
    if (!co_await client->start_stream("application/x-ndjson"))
        co_return;
    while (true) {
        co_await stay_silent(client);
        if (source->lost) {
            client->end_after_answer();
            client->close();
            co_return;
        }
        std::string lines;
        for (; from < source->produced; ++from) {
            auto const index = std::to_string(from);
            lines += R"({"index":)" + index + R"(,"text":")" + source->tag + ":" + index + " \"}\n";
        }
        bool const ended = !source->finish.empty();
        if (ended)
            lines += R"({"finish":")" + source->finish + R"(","count":)" + std::to_string(source->produced) + "}\n";
        if (!lines.empty() && !co_await client->send_chunk(std::move(lines)))
            co_return;
        if (ended) {
            std::ignore = co_await client->finish_stream();
            co_return;
        }
        if (from < source->produced || source->lost)
            continue;
        source->changed->expires_at(base::time_point::max());
        co_await source->changed->async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

http::response engine_standin::cancel(std::string const& id) {
    auto const found = by_id_.find(id);
    if (found == by_id_.end())
        return not_found();
    for (auto const& [number, item] : by_number_) {
        if (item == found->second)
            engine_->cancel(number, base::clock::now());
    }
    return json_answer(status_ok, {});
}

http::response engine_standin::answer_load() {
    auto const now = base::clock::now();
    auto const report = engine_->load_report(now).value_or(engine_model::engine_load_report{});
    json::object body;
    body["incarnation"] = incarnation_base_ + engine_->incarnation();
    body["uptime_ms"] = std::chrono::duration_cast<base::milliseconds>(now - started_at_).count();
    body["running"] = report.running;
    body["waiting"] = report.waiting;
    body["held_tokens"] = report.held_tokens;
    body["memory_tokens"] = parameters_.memory_tokens;
    body["preemptions"] = preemptions_;
    body["model"] = loaded_model_;
    body["fence"] = fence_;
    return json_answer(status_ok, body);
}

http::response engine_standin::answer_live() const {
    json::array live;
    for (auto const& [id, item] : by_id_) {
        if (item->finish.empty())
            live.emplace_back(json::object{{"id", id}, {"produced", item->produced}});
    }
    return json_answer(status_ok, {{"generations", std::move(live)}});
}

http::response engine_standin::answer_order(http::request const& received) {
    auto const fields = parse_object(received.body());
    auto const fence = number_of(fields, "fence");
    if (check_fencing_ && fence < fence_)
        return json_answer(status_conflict, {{"fence", fence_}});
    fence_ = std::max(fence_, fence);
    loaded_model_ = text_of(fields, "model");
    return json_answer(status_ok, {{"fence", fence_}});
}

http::response engine_standin::set_faults(http::request const& received) {
    auto const fields = parse_object(received.body());
    auto const now = base::clock::now();
    if (auto const stall = number_of(fields, "stall_ms"); stall > 0)
        engine_->stall(now + base::milliseconds{static_cast<std::int64_t>(stall)});
    if (fields.contains("silent"))
        silent_ = fields.at("silent").is_bool() && fields.at("silent").as_bool();
    if (fields.contains("cold"))
        engine_->make_cold(now);
    if (fields.contains("crash_on"))
        crash_on_ = text_of(fields, "crash_on");
    if (fields.contains("crash"))
        crash();
    return json_answer(status_ok, {});
}

} // namespace cyclamenledge::standin
