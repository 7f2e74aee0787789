#pragma once

#include "catalogue/service.h"
#include "http/message.h"
#include "once/idempotency_key.h"
#include "wire/generated/wire_generated.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenledge::entry {

struct call_header {
    std::string name;
    std::string value;
};

/// A caller's call of a plain service as it is passed on.
struct plain_call {
    std::string method;
    /// Path and query at the service.
    std::string path;
    std::vector<call_header> headers;
    std::string body;
    catalogue::call_semantics semantics{catalogue::call_semantics::non_idempotent};
    /// Set for non-idempotent calls.
    std::optional<once::idempotency_key> key;
    /// Hash of service, method, path and body. A key that is used again must come with the same one.
    std::uint64_t fingerprint{0};
};

/// The service and the rest of a path below /v1/services/.
struct service_path {
    std::string service;
    std::string path;
};

base::result<service_path> parse_service_path(std::string_view target);
/// The semantics of a call. One that no rule matches, or whose path a service may read in another way than this
/// function, is non-idempotent.
catalogue::call_semantics semantics_of(catalogue::service const& service, std::string_view method,
                                       std::string_view path);
/// The headers that are passed on: neither those of one connection nor those for this system.
std::vector<call_header> forwarded_headers(http::request const& received);
/// Fails with missing_idempotency_key for a non-idempotent call without a key.
base::result<plain_call> make_plain_call(catalogue::service const& service, std::string path,
                                         http::request const& received);
/// The message for an agent, without what differs between attempts.
wire::schema::SubmitCallT to_message(plain_call const& call);
/// The caller's answer from that of an agent.
http::response to_response(wire::schema::CallAnswerT const& answer);

} // namespace cyclamenledge::entry
