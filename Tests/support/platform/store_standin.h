#pragma once

#include "base/time.h"
#include "http/server.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenledge::platform::standin {

enum class store_mode : std::uint8_t { serving, refusing, silent, closing };

/// A metadata store for tests: documents with revisions, listings in pages and watches. It decodes queries as HTML
/// forms encode them, where "+" is a blank, and refuses request targets that are not well formed.
class store_standin : public http::request_handler {
public:
    explicit store_standin(boost::asio::io_context& context);

    base::result<void> listen(std::string const& address) { return server_.listen(address); }
    void put_configuration(std::string const& text) { put("op/config", text); }
    void put_evacuation(std::string const& failure_domain) { put("op/evacuate/" + failure_domain, "{}"); }
    void remove_evacuation(std::string const& failure_domain) { remove("op/evacuate/" + failure_domain); }
    void put_target(std::string const& id, std::string const& text) { put("servers/" + id, text); }
    void remove_target(std::string const& id) { remove("servers/" + id); }
    std::vector<std::string> target_ids() const;
    /// Most items of a listing's page.
    void set_page_size(std::size_t items) { page_size_ = items; }
    /// Listings cannot go on behind the key: the page that follows it cannot be read.
    void break_listings_behind(std::optional<std::string> key) { last_listed_ = std::move(key); }
    /// Calls that were refused because their target is not well formed.
    std::uint64_t malformed_calls() const { return malformed_calls_; }
    /// Pages of listings that were asked for.
    std::uint64_t page_calls() const { return page_calls_; }
    void set_mode(store_mode mode);
    /// Watches from an older revision are told to list again.
    void forget_history() { oldest_ = revision_; }
    /// Keeps a copy from which the store may come back.
    void keep_copy() { copy_ = {items_, revision_}; }
    /// Loses everything that was written since the copy, begins another era and gives revisions out again.
    void restore_copy();

    boost::asio::awaitable<void> handle(http::session_pointer client, http::request received) override;

private:
    struct item {
        std::string value;
        std::uint64_t revision{0};
        bool removed{false};
    };

    struct stored_copy {
        std::map<std::string, item> items;
        std::uint64_t revision{0};
    };

    void put(std::string const& key, std::string const& value);
    void remove(std::string const& key);
    void wake_watches();
    http::response list(std::string const& prefix, std::string const& after) const;
    http::response changes(std::string const& prefix, std::uint64_t after) const;
    bool has_change(std::string const& prefix, std::uint64_t after) const;
    bool has_history(std::uint64_t after) const { return after >= oldest_ && after <= revision_; }
    boost::asio::awaitable<void> wait_for_change(std::string prefix, std::uint64_t after, base::milliseconds longest);

    boost::asio::io_context& context_;
    /// One for each watch that waits.
    std::set<boost::asio::steady_timer*> waiting_;
    http::server server_;
    std::map<std::string, item> items_;
    std::uint64_t revision_{100};
    std::uint64_t oldest_{0};
    std::uint64_t era_{1};
    std::size_t page_size_{std::numeric_limits<std::size_t>::max()};
    std::optional<std::string> last_listed_;
    std::uint64_t malformed_calls_{0};
    std::uint64_t page_calls_{0};
    stored_copy copy_;
    store_mode mode_{store_mode::serving};
};

} // namespace cyclamenledge::platform::standin
