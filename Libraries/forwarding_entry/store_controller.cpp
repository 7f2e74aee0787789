#include "forwarding_entry/store_controller.h"

#include "log/logger.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <tuple>
#include <utility>

namespace cyclamenledge::forwarding_entry {

namespace asio = boost::asio;
using forwarding::store_knowledge;

namespace {

constexpr std::string_view source_name = "store";
// Delay before the next watch of a part, indexed by store_part. It batches changes, so that the store answers fewer
// calls. Leaving targets are noticed in time nevertheless: agents report leaving engines within tens of milliseconds,
// and targets without an agent drain for seconds.
constexpr std::array<base::milliseconds, 2> batching_delays{base::milliseconds{200}, base::milliseconds{500}};
// Time beyond the wait of a watch after which the store counts as unresponsive.
constexpr base::milliseconds answer_margin{1200};
constexpr base::milliseconds list_timeout{2000};
// How often an entry that follows relays looks at what they have reported.
constexpr base::milliseconds relay_check_interval{200};
// Before the whole part is read again, while the changes behind a gap come by watches.
constexpr base::milliseconds incomplete_list_interval{5000};
constexpr base::milliseconds initial_backoff{120};
constexpr base::milliseconds maximum_backoff{900};
// After failures for this long, peers are assumed to be more current than this process.
constexpr base::milliseconds outdated_after{700};

std::uint64_t number_of(std::optional<forwarding::store_revision> const& revision) {
    return revision ? revision->number : 0;
}

} // namespace

store_controller::store_controller(asio::io_context& context, asio::ip::tcp::endpoint store, blackboard& board,
                                   publication_controller& publications)
    : context_(context)
    , board_(board)
    , publications_(publications)
    , random_(base::random_seed())
    , parts_{part_state{context.get_executor(), store, platform::store_part::operators},
             part_state{context.get_executor(), store, platform::store_part::targets}} {}

void store_controller::start() {
    for (auto& state : parts_)
        asio::co_spawn(context_, follow_part(state), asio::detached);
}

bool store_controller::is_current(base::time_point now) const {
    return std::ranges::all_of(parts_, [&](part_state const& state) {
        auto const& confirmed_at = knowledge_of(state).confirmed_at();
        return confirmed_at && !state.list_again_at && (state.failures == 0 || now - *confirmed_at < outdated_after);
    });
}

forwarding::store_revision store_controller::confirmed_revision() const {
    auto const& oldest = *std::ranges::min_element(parts_, {}, [](part_state const& state) { return state.as_of; });
    return oldest.as_of.value_or(forwarding::store_revision{});
}

std::optional<base::time_point> store_controller::confirmed_at() const {
    if (std::ranges::any_of(parts_, [](part_state const& state) { return state.list_again_at.has_value(); }))
        return std::nullopt;
    auto const& oldest = *std::ranges::min_element(
        parts_, {}, [this](part_state const& state) { return knowledge_of(state).confirmed_at(); });
    return knowledge_of(oldest).confirmed_at();
}

std::uint64_t store_controller::calls() const {
    std::uint64_t total = 0;
    for (auto const& state : parts_)
        total += state.client.calls();
    return total;
}

asio::awaitable<void> store_controller::follow_part(part_state& state) {
    asio::steady_timer timer{context_};
    while (true) {
        if (auto const recent_until = advance_from_relays(state)) {
            timer.expires_at(std::min(*recent_until, base::clock::now() + relay_check_interval));
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            continue;
        }
        auto const outcome = co_await read_once(state);
        if (outcome) {
            on_answer(state);
            if (state.as_of && state.had_changes) {
                timer.expires_after(batching_delays.at(state.index()));
                co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            }
            continue;
        }
        on_failure(state, outcome.error());
        auto const backoff = std::min(initial_backoff * (1U << std::min(state.failures, 4U)), maximum_backoff);
        // The jitter spreads the retries of processes that lost the store at the same time.
        timer.expires_after(backoff / 2 +
                            base::milliseconds{random_.below(static_cast<std::uint64_t>(backoff.count()))});
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

std::optional<base::time_point> store_controller::advance_from_relays(part_state& state) {
    bool const whole = state.as_of && !state.list_again_at;
    auto const relayed = relays_ != nullptr && whole ? relays_->newest() : std::nullopt;
    if (!relayed)
        return std::nullopt;
    knowledge_of(state).confirm(relayed->confirmed_at);
    state.as_of = std::max(*state.as_of, relayed->as_of);
    if (!store_knowledge::is_recent(relayed->confirmed_at, base::clock::now()))
        return std::nullopt;
    state.client.close();
    state.failures = 0;
    return relayed->confirmed_at + store_knowledge::maximum_relayed_age;
}

http::awaitable_result<void> store_controller::read_once(part_state& state) {
    bool const again = state.list_again_at && base::clock::now() >= *state.list_again_at;
    if (!state.as_of || again)
        co_return co_await list(state);
    co_return co_await watch(state);
}

http::awaitable_result<void> store_controller::list(part_state& state) {
    auto const sent_at = base::clock::now();
    BOOST_OUTCOME_CO_TRY(auto listing, co_await state.client.list(list_timeout));
    state.as_of = listing.as_of;
    knowledge_of(state).confirm(sent_at);
    if (listing.gap.empty()) {
        state.list_again_at.reset();
        publications_.reconcile(std::move(listing), source_name);
    } else {
        use_incomplete(state, std::move(listing));
    }
    if (state.part == platform::store_part::targets)
        board_.targets_listed = true;
    co_return base::success();
}

http::awaitable_result<void> store_controller::watch(part_state& state) {
    auto const sent_at = base::clock::now();
    auto const wait = knowledge_of(state).watch_wait(sent_at);
    BOOST_OUTCOME_CO_TRY(auto changes, co_await state.client.watch(*state.as_of, wait, wait + answer_margin));
    if (changes.history_lost) {
        bool const restored = changes.as_of.era != state.as_of->era;
        log::write(
            restored ? log::event_kind::store_restored : log::event_kind::store_history_lost,
            {{"part", static_cast<int>(state.part)}, {"revision", state.as_of->number}, {"era", changes.as_of.era}});
        state.as_of.reset();
        co_return base::success();
    }
    state.as_of = changes.as_of;
    state.had_changes = !changes.items.empty();
    knowledge_of(state).confirm(state.had_changes ? sent_at
                                                  : store_knowledge::unchanged_at(sent_at, wait, base::clock::now()));
    publications_.apply(std::move(changes.items), source_name);
    co_return base::success();
}

void store_controller::use_incomplete(part_state& state, forwarding::publication_listing listing) {
    state.list_again_at = base::clock::now() + incomplete_list_interval;
    log::write(log::event_kind::store_listing_incomplete,
               {{"part", static_cast<int>(state.part)}, {"items", listing.items.size()}, {"reason", listing.gap}});
    publications_.apply(std::move(listing.items), source_name);
}

void store_controller::on_failure(part_state& state, base::error const& failure) {
    state.client.close();
    if (state.failures++ == 0)
        log::write(log::event_kind::store_lost, {{"part", static_cast<int>(state.part)},
                                                 {"reason", failure.message},
                                                 {"revision", number_of(state.as_of)}});
}

void store_controller::on_answer(part_state& state) {
    if (state.failures > 0)
        log::write(log::event_kind::store_regained, {{"part", static_cast<int>(state.part)},
                                                     {"failures", state.failures},
                                                     {"revision", number_of(state.as_of)}});
    state.failures = 0;
    if (on_answer_)
        on_answer_();
}

} // namespace cyclamenledge::forwarding_entry
