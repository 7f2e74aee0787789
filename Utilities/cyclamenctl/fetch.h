#pragma once

#include "http/client.h"
#include "subcommand.h"

#include <boost/json/value.hpp>

#include <optional>
#include <string>

namespace cyclamenledge::control {

/// What a process answered, or why the command ends without an answer.
struct fetched {
    exit_status status{exit_status::unreachable};
    unsigned http_status{0};
    std::string body;
};

/// Sends a request and waits for the answer. Errors and refusals are written to the standard error.
fetched fetch(std::string const& address, http::request message);

/// Asks for a JSON document at an operators' address.
std::optional<boost::json::value> fetch_document(std::string const& address, std::string const& path,
                                                 exit_status& status);

} // namespace cyclamenledge::control
