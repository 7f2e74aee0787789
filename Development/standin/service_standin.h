#pragma once

#include "http/server.h"
#include "standin.h"

#include <boost/json/object.hpp>

#include <map>
#include <string>

namespace cyclamenledge::standin {

/// A plain service that counts its executions by Idempotency-Key, so that a test sees what ran and how often. GET
/// /executions returns the counts. POST /faults sets delay_ms, drop_answer, crash, silent and refuse.
class service_standin : public standin, public http::request_handler {
public:
    std::string name() const override { return "service"; }
    std::string description() const override { return "A plain service that counts executions"; }
    void add_options(CLI::App& options) override;
    base::result<void> start(boost::asio::io_context& context) override;
    boost::asio::awaitable<void> handle(http::session_pointer client, http::request received) override;

private:
    struct fault_settings {
        std::uint64_t delay_ms{0};
        /// Closes the connection after the call has run.
        bool drop_answer{false};
        /// Ends the process after the call has run.
        bool crash{false};
        /// Neither runs nor answers.
        bool silent{false};
        /// Answers 503 without running.
        bool refuse{false};
    };

    http::response set_faults(http::request const& received);
    http::response answer_executions() const;
    boost::asio::awaitable<void> run(http::session_pointer client, http::request const& received);
    boost::asio::awaitable<void> wait(http::session_pointer client, base::milliseconds span) const;

    std::string address_;
    fault_settings faults_;
    std::map<std::string, std::uint64_t> by_key_;
    std::uint64_t executions_{0};
    http::server_limits limits_;
    std::unique_ptr<http::server> server_;
};

} // namespace cyclamenledge::standin
