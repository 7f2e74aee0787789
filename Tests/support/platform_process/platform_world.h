#pragma once

#include "soak/fleet.h"
#include "support/process/http_client.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <cstdint>
#include <future>
#include <memory>
#include <string>
#include <thread>

namespace cyclamenledge::tests::process {

/// Entries, engines with their agents and plain services, as real processes with stand-ins of the platform.
class platform_world {
public:
    /// A call as a caller sends it.
    struct caller_request {
        std::string id;
        std::string path;
        /// Size of the prompt of a generation. Zero for a plain call.
        std::uint32_t prompt_tokens{0};
        /// Empty for a body that no other request has.
        std::string body{};
        std::size_t entry{0};
        bool may_run_again{false};
        /// See platform::standin::caller_call.
        std::string prompt_parts{};
        /// See platform::standin::caller_call.
        std::uint64_t last_event{0};
        std::string resumed_request{};
    };

    /// Waits until each entry serves.
    explicit platform_world(soak::fleet_size const& size);
    ~platform_world();

    /// Runs the function where the stand-ins run, and waits for it.
    template <class Function>
    auto act(Function function) {
        std::packaged_task<decltype(function())()> task{std::move(function)};
        auto result = task.get_future();
        boost::asio::post(context_, [&task] { task(); });
        return result.get();
    }
    soak::fleet& fleet() { return *fleet_; }
    soak::run_ledger& ledger() { return ledger_; }
    /// Sends a call and waits for its end.
    http_answer call(caller_request const& request);
    /// Sends calls to the entry until one is served.
    void wait_until_serving(std::size_t entry);
    /// What `cyclamenctl trace` prints of the request from the output of all daemons.
    std::string trace(std::string const& request);

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    soak::run_ledger ledger_;
    base::random_source random_{7};
    std::unique_ptr<soak::fleet> fleet_;
    std::thread thread_;
    std::uint64_t next_ready_call_{1};
};

} // namespace cyclamenledge::tests::process
