#pragma once

#include "http/message.h"
#include "subcommand.h"

#include <cstdint>
#include <string>

namespace cyclamenledge::control {

/// Sends one request as a caller.
class call_command : public subcommand {
public:
    std::string name() const override { return "call"; }
    std::string description() const override { return "Send a completion or a plain call and print the answer"; }
    void add_options(CLI::App& options) override;
    exit_status run() override;

private:
    exit_status call_plain() const;
    exit_status stream_completion() const;
    boost::asio::awaitable<exit_status> print_stream() const;
    std::string completion_body() const;

    std::string address_;
    std::string key_;
    std::string service_;
    std::string prompt_{"cyclamen length=20 "};
    std::uint32_t max_tokens_{0};
    std::string method_{"POST"};
    std::string path_;
    std::string body_;
    std::string idempotency_key_;
};

} // namespace cyclamenledge::control
