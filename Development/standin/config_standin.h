#pragma once

#include "configuration/publication.h"
#include "http/server.h"
#include "standin.h"

#include <boost/json/object.hpp>

#include <map>
#include <optional>
#include <string>

namespace cyclamenledge::standin {

/// The platform's configuration service, which is only read and watched. Operators publish through POST /faults with
/// {"publish": "YAML text"}; further faults are down (closes every connection without an answer), stale (keeps
/// answering with the revision from before) and slow_ms.
class config_standin : public standin, public http::request_handler {
public:
    std::string name() const override { return "config"; }
    std::string description() const override { return "A configuration service"; }
    void add_options(CLI::App& options) override;
    base::result<void> start(boost::asio::io_context& context) override;
    boost::asio::awaitable<void> handle(http::session_pointer client, http::request received) override;

private:
    void publish(std::string const& text);
    configuration::publication const& visible() const { return stale_ ? *frozen_ : newest_; }
    boost::asio::awaitable<void> answer_catalogue(http::session_pointer client, std::string const& target);
    boost::asio::awaitable<void> answer_part(http::session_pointer client, std::string const& target);
    http::response set_faults(http::request const& received);
    http::response answer_calls() const;

    std::string address_;
    std::string file_;
    std::optional<http::server> server_;
    configuration::publication newest_;
    /// What a stale service goes on to show.
    std::optional<configuration::publication> frozen_;
    std::map<std::uint64_t, configuration::part_pointer> parts_;
    std::uint64_t slow_ms_{0};
    bool down_{false};
    bool stale_{false};
    std::uint64_t index_calls_{0};
    std::uint64_t watch_calls_{0};
    std::uint64_t part_calls_{0};
};

} // namespace cyclamenledge::standin
