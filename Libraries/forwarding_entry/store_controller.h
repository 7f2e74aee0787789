#pragma once

#include "base/random.h"
#include "forwarding/feed_table.h"
#include "forwarding_entry/blackboard.h"
#include "forwarding_entry/publication_controller.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <optional>

namespace cyclamenledge::forwarding_entry {

/// Keeps the tables in step with the metadata store: lists each part once and then waits for its changes.
class store_controller {
public:
    store_controller(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint store, blackboard& board,
                     publication_controller& publications);

    void start();
    /// What other entries have told, if they tell enough that this one need not watch the store.
    void set_feeds(forwarding::feed_table const& feeds) { feeds_ = &feeds; }
    /// Whether every part was read lately. While it is not, peers are asked.
    bool in_step(base::time_point now) const;
    /// Whether the store itself has answered lately, so that others may rely on this process.
    bool watching(base::time_point now) const;
    /// Every change up to this revision is known from the store. Zero before all parts were listed.
    std::uint64_t confirmed_revision() const;
    std::uint64_t calls() const;

private:
    struct part_state {
        part_state(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint endpoint,
                   platform::store_part which)
            : part(which)
            , client(std::move(executor), std::move(endpoint), which) {}

        platform::store_part part;
        platform::store_client client;
        /// The revision from which to go on. No value: list first.
        std::optional<std::uint64_t> as_of;
        /// Whether the last watch brought changes.
        bool changed{false};
        std::uint32_t failures{0};
        std::optional<base::time_point> last_answer;
        /// The last answer of the store itself.
        std::optional<base::time_point> last_read;
        std::optional<base::time_point> last_failure;
    };

    boost::asio::awaitable<void> follow(part_state& state);
    /// Whether other entries have told everything, so that the part need not be read.
    bool take_feeds(part_state& state);
    http::awaitable_result<void> read_once(part_state& state);
    http::awaitable_result<void> list(part_state& state);
    http::awaitable_result<void> watch(part_state& state);
    void on_failure(part_state& state, base::error const& failure);
    void on_answer(part_state& state);

    boost::asio::io_context& context_;
    blackboard& board_;
    publication_controller& publications_;
    forwarding::feed_table const* feeds_{nullptr};
    base::random_source random_;
    std::array<part_state, 2> parts_;
};

} // namespace cyclamenledge::forwarding_entry
