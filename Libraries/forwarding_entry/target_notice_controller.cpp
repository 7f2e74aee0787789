#include "forwarding_entry/target_notice_controller.h"

#include "log/logger.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace {

std::int64_t unix_milliseconds(std::chrono::system_clock::time_point time) {
    return std::chrono::duration_cast<base::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

forwarding::notices_handler target_notice_controller::make_handler(forwarding::target_incarnation target,
                                                                   std::string request) {
    return [this, target = std::move(target), request = std::move(request)](auto const& notices) {
        on_answer(target, request, notices);
    };
}

void target_notice_controller::on_replaced(forwarding::target_incarnation const& target, std::string const& request) {
    mark_leaving(target, request, "other_target");
}

void target_notice_controller::on_answer(forwarding::target_incarnation const& target, std::string const& request,
                                         forwarding::target_notices const& notices) {
    if (notices.leaving)
        mark_leaving(target, request, "answer");
    if (!notices.hold_off || !board_.fleet.hold_off(target, *notices.hold_off, base::clock::now()))
        return;
    log::write(log::event_kind::target_hold_off,
               {{"target", target.id},
                {"request", request},
                {"duration_ms", notices.hold_off->count()},
                {"ends_at_ms", unix_milliseconds(std::chrono::system_clock::now() + *notices.hold_off)}});
    schedule();
    notify();
}

void target_notice_controller::mark_leaving(forwarding::target_incarnation const& target, std::string const& request,
                                            std::string_view source) {
    if (!board_.fleet.mark_leaving(target, base::clock::now()))
        return;
    log::write(log::event_kind::target_leaving, {{"target", target.id}, {"request", request}, {"source", source}});
    notify();
}

void target_notice_controller::notify() {
    boost::asio::post(context_, [this] { on_change_(); });
}

void target_notice_controller::schedule() {
    auto const now = base::clock::now();
    auto next = base::time_point::max();
    for (auto const& [id, target] : board_.fleet.targets()) {
        if (target.hold_off.active(now))
            next = std::min(next, target.hold_off.end());
    }
    if (next == base::time_point::max())
        return;
    timer_.expires_at(next);
    timer_.async_wait([this](boost::system::error_code code) {
        if (code)
            return;
        on_change_();
        schedule();
    });
}

} // namespace cyclamenledge::forwarding_entry
