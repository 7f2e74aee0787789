#pragma once

#include "admission/admission_types.h"
#include "base/result.h"
#include "http/line_stream.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace cyclamenledge::agent {

/// A generation as the engine is asked to run it.
struct engine_request {
    std::string generation;
    std::string prompt;
    std::uint32_t max_tokens{0};
    std::uint32_t priority{0};
};

/// One line of an engine's answer: a token, or the end of the generation.
struct engine_line {
    std::uint32_t index{0};
    std::string text;
    bool end{false};
    /// Set at the end: "stop", "length" or "cancelled".
    std::string finish_reason;
};

/// What an engine says about itself.
struct engine_status {
    std::uint64_t incarnation{0};
    base::duration uptime{};
    admission::load_report load;
    std::uint64_t preemptions{0};
};

using line_stream_pointer = std::unique_ptr<http::line_stream>;

/// Speaks the HTTP protocol of the engine. Another wire shape replaces this class.
class engine_client {
public:
    explicit engine_client(boost::asio::ip::tcp::endpoint endpoint)
        : endpoint_(std::move(endpoint)) {}

    boost::asio::awaitable<http::client_result<line_stream_pointer>> start(engine_request request) const;
    /// Continues a generation that the engine holds, from the token with the given index.
    boost::asio::awaitable<http::client_result<line_stream_pointer>> resume(std::string generation,
                                                                            std::uint32_t from_index) const;
    boost::asio::awaitable<void> cancel(std::string generation) const;
    http::awaitable_result<engine_status> status() const;

    static base::result<engine_line> parse_line(std::string const& line);

private:
    boost::asio::awaitable<http::client_result<line_stream_pointer>> open(http::request message) const;

    boost::asio::ip::tcp::endpoint endpoint_;
};

} // namespace cyclamenledge::agent
