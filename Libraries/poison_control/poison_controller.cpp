#include "poison_control/poison_controller.h"

#include "log/logger.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cyclamenledge::poison_control {

namespace {

wire::schema::CrashNoticeT encode(poison::crash_notice const& notice) {
    wire::schema::CrashNoticeT message;
    message.fingerprint = notice.fingerprint;
    message.target = notice.target;
    message.target_incarnation = notice.incarnation;
    message.age_ms = static_cast<std::uint32_t>(notice.age.count());
    message.ran_for_ms = static_cast<std::uint32_t>(notice.ran_for.count());
    message.prompt_part = notice.kind == poison::content_kind::prompt_part;
    return message;
}

poison::crash_notice decode(wire::schema::CrashNoticeT const& message) {
    return {message.fingerprint,
            message.target,
            message.target_incarnation,
            base::milliseconds{message.age_ms},
            base::milliseconds{message.ran_for_ms},
            message.prompt_part ? poison::content_kind::prompt_part : poison::content_kind::request};
}

} // namespace

std::vector<link::connection_pointer> processes_of_same_role(link::hub const& hub, outgoing_notice const&) {
    std::vector<link::connection_pointer> chosen;
    std::ranges::copy_if(hub.ready_connections(), std::back_inserter(chosen),
                         [&](auto const& connection) { return connection->peer().role == hub.self().role; });
    return chosen;
}

void poison_controller::start() {
    daemon_.hub().handle<wire::schema::CrashNoticeT>(
        [this](link::connection& source, wire::schema::CrashNoticeT const& message) {
            if (message.cleared)
                on_peer_success(message, source);
            else
                record_crash(decode(message), &source);
        });
    daemon_.hub().add_observer(*this);
}

bool poison_controller::refuses(std::uint64_t fingerprint) {
    return refuse({fingerprint, {}}).has_value();
}

std::optional<poison::refusal> poison_controller::refuse(poison::request_content const& content) {
    auto const found = find_refusal(content);
    if (found) {
        daemon_.metrics().add(metrics::counter_kind::poison_refusals);
        log::write(log::event_kind::poison_refused, {{"fingerprint", found->fingerprint},
                                                     {"part", found->kind == poison::content_kind::prompt_part},
                                                     {"crashes", found->crashes}});
    }
    return found;
}

std::optional<poison::refusal> poison_controller::find_refusal(poison::request_content const& content) const {
    return table_.with(
        [&](poison::crash_suspects const& table) { return table.find_refusal(content, base::clock::now()); });
}

bool poison_controller::suspects(poison::request_content const& content) const {
    return table_.with(
        [&](poison::crash_suspects const& table) { return table.suspects(content, base::clock::now()); });
}

void poison_controller::record_crash(poison::crash_notice const& notice, link::connection const* source) {
    auto const now = base::clock::now();
    auto const [is_new, refutation] = table_.with([&](poison::crash_suspects& table) {
        table.expire(now);
        bool const recorded = table.on_crash(notice, now);
        return std::pair{recorded, table.take_refutation(notice.fingerprint, now)};
    });
    if (refutation)
        send_success(notice.fingerprint, *refutation);
    if (!is_new)
        return;
    log::write(log::event_kind::crash_recorded, {{"fingerprint", notice.fingerprint},
                                                 {"part", notice.kind == poison::content_kind::prompt_part},
                                                 {"target", notice.target},
                                                 {"age_ms", notice.age.count()},
                                                 {"ran_for_ms", notice.ran_for.count()}});
    send_to_recipients(encode(notice), source);
}

void poison_controller::on_success(std::uint64_t fingerprint) {
    bool const any_cleared =
        table_.with([&](poison::crash_suspects& table) { return table.on_success(fingerprint, base::clock::now()); });
    if (any_cleared)
        send_success(fingerprint, base::milliseconds{0});
}

void poison_controller::on_part_success(poison::request_content const& content) {
    for (auto const& part : content.parts) {
        bool const any_cleared = table_.with(
            [&](poison::crash_suspects& table) { return table.on_part_success(part.fingerprint, base::clock::now()); });
        if (any_cleared)
            send_success(part.fingerprint, base::milliseconds{0});
    }
}

void poison_controller::on_peer_success(wire::schema::CrashNoticeT const& message, link::connection const& source) {
    bool const any_cleared = table_.with([&](poison::crash_suspects& table) {
        return table.on_peer_success(message.fingerprint, base::milliseconds{message.age_ms}, base::clock::now());
    });
    if (any_cleared)
        send_to_recipients(message, &source);
}

void poison_controller::send_success(std::uint64_t fingerprint, base::milliseconds age) {
    wire::schema::CrashNoticeT message;
    message.fingerprint = fingerprint;
    message.cleared = true;
    message.age_ms = static_cast<std::uint32_t>(age.count());
    send_to_recipients(message, nullptr);
}

void poison_controller::send_to_recipients(wire::schema::CrashNoticeT const& message, link::connection const* source) {
    for (auto const& recipient : recipients_(daemon_.hub(), {message.fingerprint, source}))
        recipient->send(message);
}

void poison_controller::on_connected(link::connection& source) {
    auto const current =
        table_.with([](poison::crash_suspects const& table) { return table.notices(base::clock::now()); });
    for (auto const& notice : current) {
        auto const recipients = recipients_(daemon_.hub(), {notice.fingerprint, nullptr});
        if (std::ranges::find(recipients, &source, &link::connection_pointer::get) != recipients.end())
            source.send(encode(notice));
    }
}

boost::json::object poison_controller::state() const {
    boost::json::object dump;
    table_.with([&](poison::crash_suspects const& table) {
        dump["fingerprints"] = table.size();
        dump["strikes"] = table.notices(base::clock::now()).size();
    });
    return dump;
}

} // namespace cyclamenledge::poison_control
