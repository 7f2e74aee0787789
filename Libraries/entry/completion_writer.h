#pragma once

#include "http/session.h"

#include <memory>
#include <span>
#include <string>

namespace cyclamenledge::entry {

/// Writes the tokens of one generation to its caller. Nothing is sent before the first token or the end, so that a
/// failure before that has an HTTP status of its own.
class completion_writer {
public:
    completion_writer() = default;
    completion_writer(completion_writer const&) = delete;
    completion_writer& operator=(completion_writer const&) = delete;
    virtual ~completion_writer() = default;

    virtual http::awaitable_result<void> write_tokens(std::span<std::string const> texts) = 0;
    virtual http::awaitable_result<void> finish(std::string reason) = 0;
    virtual http::awaitable_result<void> fail(base::error failure) = 0;
};

/// Server-sent events for "stream": true, one JSON answer otherwise.
std::unique_ptr<completion_writer> make_completion_writer(http::session_pointer client, bool stream,
                                                          std::string const& identifier, std::string const& model);

} // namespace cyclamenledge::entry
