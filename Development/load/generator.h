#pragma once

#include "base/random.h"
#include "base/time.h"
#include "report.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::load {

struct plan {
    std::vector<boost::asio::ip::tcp::endpoint> entries;
    /// Bearer keys, one for each organisation.
    std::vector<std::string> keys;
    std::string service;
    double requests_per_second{10};
    double seconds{10};
    double mean_length{100};
    std::uint32_t maximum_length{2000};
    double stall_threshold_ms{49};
    std::uint64_t seed{1};
    /// Share of arrivals that are keyed calls, with their path below /v1/services/.
    double keyed_share{0};
    std::string keyed_path;
};

/// Sends requests with Poisson arrivals and log-normal lengths and checks every token. Equal seeds give equal requests
/// at equal times.
class generator {
public:
    generator(boost::asio::io_context& context, plan const& wanted)
        : context_(context)
        , plan_(wanted)
        , random_(wanted.seed) {}

    boost::asio::awaitable<void> run();
    report& result() { return report_; }

private:
    boost::asio::awaitable<void> stream(std::string tag, std::uint32_t length, std::size_t organisation);
    boost::asio::awaitable<void> keyed_call(std::string key, std::size_t organisation);
    /// Compares a token with the next expected one and returns the next expected index.
    std::uint32_t check(std::string const& text, std::string const& tag, std::uint32_t expected);
    std::string make_key();

    boost::asio::io_context& context_;
    plan const& plan_;
    base::random_source random_;
    report report_;
};

} // namespace cyclamenledge::load
