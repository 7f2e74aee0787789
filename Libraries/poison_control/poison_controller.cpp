#include "poison_control/poison_controller.h"

#include "log/logger.h"

#include <algorithm>
#include <iterator>

namespace cyclamenledge::poison_control {

namespace {

wire::schema::CrashNoticeT encode(poison::crash_notice const& notice) {
    wire::schema::CrashNoticeT message;
    message.fingerprint = notice.fingerprint;
    message.target = notice.target;
    message.target_incarnation = notice.incarnation;
    message.age_ms = static_cast<std::uint32_t>(notice.age.count());
    message.ran_for_ms = static_cast<std::uint32_t>(notice.ran_for.count());
    return message;
}

poison::crash_notice decode(wire::schema::CrashNoticeT const& message) {
    return {message.fingerprint, message.target, message.target_incarnation, base::milliseconds{message.age_ms},
            base::milliseconds{message.ran_for_ms}};
}

} // namespace

std::vector<link::connection_pointer> processes_of_same_role(link::hub const& hub, std::uint64_t) {
    std::vector<link::connection_pointer> chosen;
    std::ranges::copy_if(hub.ready_connections(), std::back_inserter(chosen),
                         [&](auto const& connection) { return connection->peer().role == hub.self().role; });
    return chosen;
}

void poison_controller::start() {
    daemon_.hub().handle<wire::schema::CrashNoticeT>(
        [this](link::connection&, wire::schema::CrashNoticeT const& message) {
            if (message.cleared)
                on_peer_success(message);
            else
                on_crash(decode(message));
        });
    daemon_.hub().add_observer(*this);
}

bool poison_controller::refuses(std::uint64_t fingerprint) {
    auto const refused =
        table_.with([&](poison::crash_suspects& table) { return table.refuses(fingerprint, base::clock::now()); });
    if (refused) {
        daemon_.metrics().add(metrics::counter_kind::poison_refusals);
        log::write(log::event_kind::poison_refused, {{"fingerprint", fingerprint}});
    }
    return refused;
}

bool poison_controller::suspects(std::uint64_t fingerprint) const {
    return table_.with(
        [&](poison::crash_suspects const& table) { return table.suspects(fingerprint, base::clock::now()); });
}

base::milliseconds poison_controller::time_to_expiry(std::uint64_t fingerprint) const {
    return table_.with(
        [&](poison::crash_suspects const& table) { return table.time_to_expiry(fingerprint, base::clock::now()); });
}

void poison_controller::on_crash(poison::crash_notice const& notice) {
    auto const now = base::clock::now();
    bool const is_new = table_.with([&](poison::crash_suspects& table) {
        table.expire(now);
        return table.on_crash(notice, now);
    });
    if (!is_new)
        return;
    log::write(log::event_kind::crash_recorded, {{"fingerprint", notice.fingerprint},
                                                 {"target", notice.target},
                                                 {"age_ms", notice.age.count()},
                                                 {"ran_for_ms", notice.ran_for.count()}});
    send_to_recipients(encode(notice));
}

void poison_controller::on_success(std::uint64_t fingerprint) {
    bool const any_cleared =
        table_.with([&](poison::crash_suspects& table) { return table.on_success(fingerprint, base::clock::now()); });
    if (!any_cleared)
        return;
    wire::schema::CrashNoticeT message;
    message.fingerprint = fingerprint;
    message.cleared = true;
    send_to_recipients(message);
}

void poison_controller::on_peer_success(wire::schema::CrashNoticeT const& message) {
    bool const any_cleared = table_.with([&](poison::crash_suspects& table) {
        return table.on_peer_success(message.fingerprint, base::milliseconds{message.age_ms}, base::clock::now());
    });
    if (any_cleared)
        send_to_recipients(message);
}

void poison_controller::send_to_recipients(wire::schema::CrashNoticeT const& message) {
    for (auto const& recipient : recipients_(daemon_.hub(), message.fingerprint))
        recipient->send(message);
}

void poison_controller::on_connected(link::connection& source) {
    auto const current =
        table_.with([](poison::crash_suspects const& table) { return table.notices(base::clock::now()); });
    for (auto const& notice : current) {
        auto const recipients = recipients_(daemon_.hub(), notice.fingerprint);
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
