#include "support/platform/caller_messages.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <utility>

namespace cyclamenledge::platform::standin {

namespace json = boost::json;

http::request encode_call(caller_call const& call) {
    using http::beast_http::verb;
    http::request message{verb::post, call.path, http::http_version_1_1};
    message.set(http::beast_http::field::host, call.host);
    message.set(http::beast_http::field::authorization, "Bearer " + call.api_key);
    message.set("X-Request-Id", call.id);
    message.set("X-Deadline-Ms", std::to_string(call.deadline_milliseconds));
    if (call.prompt_tokens > 0) {
        message.set("X-Token-Count", std::to_string(call.prompt_tokens) + "," + std::to_string(call.output_tokens));
        message.set("X-Model", "m");
        if (!call.prompt_parts.empty())
            message.set("X-Prefix-Hash", call.prompt_parts);
        if (call.last_event > 0)
            message.set("Last-Event-Id", std::to_string(call.last_event));
        if (!call.resumed_request.empty())
            message.set("Resumes", call.resumed_request);
    }
    message.body() = call.body.empty() ? "body of " + call.id : call.body;
    message.prepare_payload();
    return message;
}

std::string encode_configuration(std::uint64_t version, std::string const& host, std::string const& api_key,
                                 std::vector<published_route> const& routes, std::vector<std::string> const& services) {
    json::array route_list;
    for (auto const& route : routes) {
        route_list.push_back(json::object{{"name", route.prefix},
                                          {"hostname", host},
                                          {"prefix", route.prefix},
                                          {"routeKind", route.kind},
                                          {"resumable", route.resumable},
                                          {"service", route.service},
                                          {"maxAttempts", route.maximum_attempts},
                                          {"timeoutMs", route.timeout_milliseconds},
                                          {"targetLatencyMs", route.objective_milliseconds}});
    }
    json::array service_list;
    for (auto const& name : services) {
        json::object service{{"name", name}};
        if (name == "engine")
            service["engine"] = json::object{{"slots", 24},     {"kvCapacity", 30000}, {"moves", true},
                                             {"backups", true}, {"stride", 4},         {"handleS", 5}};
        service_list.push_back(std::move(service));
    }
    json::array const organisations{json::object{{"name", "callers"}, {"apiKeys", json::array{api_key}}}};
    return json::serialize(json::object{{"version", version},
                                        {"routes", std::move(route_list)},
                                        {"services", std::move(service_list)},
                                        {"tenants", organisations},
                                        {"limits", json::object{{"idleTimeoutMs", 4000}}}});
}

} // namespace cyclamenledge::platform::standin
