#pragma once

#include "http/server.h"
#include "standin.h"

#include <boost/json/object.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cyclamenledge::standin {

/// The platform's list of VMs, which shows each change only after the lag. POST /faults takes {"vm": NAME, "state":
/// "live"|"leaving"|"gone"} and lag_ms.
class vms_standin : public standin, public http::request_handler {
public:
    std::string name() const override { return "vms"; }
    std::string description() const override { return "A lagging list of VMs"; }
    void add_options(CLI::App& options) override;
    base::result<void> start(boost::asio::io_context& context) override;
    boost::asio::awaitable<void> handle(http::session_pointer client, http::request received) override;

private:
    struct change {
        base::time_point visible_at;
        std::string vm;
        std::string state;
    };

    void show_due_changes();
    http::response answer_list(http::request const& received);
    http::response answer_calls() const;
    http::response set_faults(http::request const& received);

    std::string address_;
    std::vector<std::string> names_;
    std::uint64_t lag_ms_{0};
    std::optional<http::server> server_;
    std::map<std::string, std::string> shown_;
    std::deque<change> pending_;
    std::uint64_t version_{1};
    std::uint64_t calls_{0};
};

} // namespace cyclamenledge::standin
