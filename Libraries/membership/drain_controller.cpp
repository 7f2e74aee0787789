#include "membership/drain_controller.h"

#include "base/name_table.h"

namespace cyclamenledge::membership {

namespace {

constexpr base::name_table<drain_state, 4> state_names{base::make_names({"running", "unready", "refusing", "drained"})};

} // namespace

std::string_view name_of(drain_state state) {
    return state_names.name(state);
}

void drain_controller::start_drain(base::time_point now) {
    if (!drain_started_)
        drain_started_ = now;
}

bool drain_controller::begin_request(base::time_point now) {
    if (!accepts_connections(now))
        return false;
    ++open_requests_;
    return true;
}

bool drain_controller::begin_short_request(base::time_point now) {
    if (state(now) == drain_state::drained)
        return false;
    ++open_requests_;
    return true;
}

void drain_controller::end_request() {
    if (open_requests_ > 0)
        --open_requests_;
}

drain_state drain_controller::state(base::time_point now) const {
    if (!drain_started_)
        return drain_state::running;
    if (settings_.drain_limit && now - *drain_started_ >= *settings_.drain_limit)
        return drain_state::drained;
    if (now - *drain_started_ < settings_.drain_accept)
        return drain_state::unready;
    return open_requests_ > 0 ? drain_state::refusing : drain_state::drained;
}

std::optional<base::time_point> drain_controller::aborts_at() const {
    if (!drain_started_ || !settings_.drain_limit)
        return std::nullopt;
    return *drain_started_ + *settings_.drain_limit;
}

std::optional<base::time_point> drain_controller::next_change(base::time_point now) const {
    switch (state(now)) {
    case drain_state::unready:
        return *drain_started_ + settings_.drain_accept;
    case drain_state::refusing:
        return aborts_at();
    case drain_state::running:
    case drain_state::drained:
        return std::nullopt;
    }
    return std::nullopt;
}

} // namespace cyclamenledge::membership
