#pragma once

#include "base/random.h"
#include "forwarding/store_knowledge.h"
#include "forwarding/store_relay_table.h"
#include "forwarding_entry/blackboard.h"
#include "forwarding_entry/publication_controller.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <optional>
#include <utility>

namespace cyclamenledge::forwarding_entry {

/// Synchronises the tables with the metadata store: lists each part once and then watches it for changes.
class store_controller {
public:
    store_controller(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint store, blackboard& board,
                     publication_controller& publications);

    void start();
    /// Sets the table of store relays. While what they report is recent, this entry does not read the store.
    void set_relays(forwarding::store_relay_table const& relays) { relays_ = &relays; }
    /// The observer is called after each answer of the store.
    void set_observer(std::function<void()> on_answer) { on_answer_ = std::move(on_answer); }
    /// Whether every part was read without a gap and none has failed for long. Otherwise peers are asked for changes.
    bool is_current(base::time_point now) const;
    /// The revision up to which all changes were received. Zero before all parts were listed.
    forwarding::store_revision confirmed_revision() const;
    /// When that revision was the store's newest one. No value before all parts were listed without a gap, so that no
    /// other entry takes the state for the whole.
    std::optional<base::time_point> confirmed_at() const;
    std::uint64_t calls() const;

private:
    struct part_state {
        part_state(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint endpoint,
                   platform::store_part which)
            : part(which)
            , client(std::move(executor), std::move(endpoint), which) {}

        std::size_t index() const { return static_cast<std::size_t>(part); }

        platform::store_part part;
        platform::store_client client;
        /// The revision up to which the part was read. No value until the part is listed.
        std::optional<forwarding::store_revision> as_of;
        /// When the part is listed again, because the last listing had a gap. No value while the part is whole.
        std::optional<base::time_point> list_again_at;
        /// Whether the last watch returned changes.
        bool had_changes{false};
        std::uint32_t failures{0};
    };

    boost::asio::awaitable<void> follow_part(part_state& state);
    /// Advances the part to the relayed revision. Returns until when that is recent. No value when it is not, so that
    /// the part must be read from the store.
    std::optional<base::time_point> advance_from_relays(part_state& state);
    forwarding::store_knowledge& knowledge_of(part_state const& state) { return board_.store.at(state.index()); }
    forwarding::store_knowledge const& knowledge_of(part_state const& state) const {
        return board_.store.at(state.index());
    }
    http::awaitable_result<void> read_once(part_state& state);
    http::awaitable_result<void> list(part_state& state);
    http::awaitable_result<void> watch(part_state& state);
    void use_incomplete(part_state& state, forwarding::publication_listing listing);
    void on_failure(part_state& state, base::error const& failure);
    void on_answer(part_state& state);

    boost::asio::io_context& context_;
    blackboard& board_;
    publication_controller& publications_;
    forwarding::store_relay_table const* relays_{nullptr};
    std::function<void()> on_answer_;
    base::random_source random_;
    std::array<part_state, 2> parts_;
};

} // namespace cyclamenledge::forwarding_entry
