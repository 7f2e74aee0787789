#pragma once

#include "soak/fleet.h"
#include "support/process/http_client.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <future>
#include <string>
#include <thread>

namespace cyclamenledge::tests::process {

/// One entry, four engines with their agents and one plain service, as real processes with stand-ins of the platform.
class operations_world {
public:
    operations_world();
    ~operations_world();

    /// Runs the function where the stand-ins run, and waits for it.
    template <class Function>
    auto act(Function function) {
        std::packaged_task<decltype(function())()> task{std::move(function)};
        auto result = task.get_future();
        boost::asio::post(context_, [&task] { task(); });
        return result.get();
    }
    soak::fleet& fleet() { return *fleet_; }
    /// Sends a call with the id and waits for its end. A generation reads prompt_tokens first.
    http_answer call(std::string const& request, std::string const& path, std::uint32_t prompt_tokens = 0);
    /// What `cyclamenctl trace` prints of the request from the output of all daemons.
    std::string trace(std::string const& request);

private:
    boost::asio::io_context context_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    soak::run_ledger ledger_;
    base::random_source random_{7};
    std::unique_ptr<soak::fleet> fleet_;
    std::thread thread_;
};

} // namespace cyclamenledge::tests::process
