#include "entry/plain_call.h"

#include "base/hash.h"

#include <boost/algorithm/string/predicate.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

namespace cyclamenledge::entry {

namespace {

constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::string_view key_header = "Idempotency-Key";

// The override headers would let a service run a POST that the rules have seen as a GET.
constexpr std::array<std::string_view, 18> withheld_headers{"Connection",
                                                            "Keep-Alive",
                                                            "Proxy-Connection",
                                                            "Proxy-Authenticate",
                                                            "Proxy-Authorization",
                                                            "TE",
                                                            "Trailer",
                                                            "Transfer-Encoding",
                                                            "Upgrade",
                                                            "Host",
                                                            "Content-Length",
                                                            "Expect",
                                                            "Authorization",
                                                            "Idempotency-Key",
                                                            "X-Request-Deadline-Ms",
                                                            "X-Request-Priority",
                                                            "X-HTTP-Method-Override",
                                                            "X-Method-Override"};

bool equals(std::string_view left, std::string_view right) {
    return boost::algorithm::iequals(left, right);
}

bool is_listed(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        auto const end = std::min(list.find(','), list.size());
        auto item = list.substr(0, end);
        while (!item.empty() && (item.front() == ' ' || item.front() == '\t'))
            item.remove_prefix(1);
        while (!item.empty() && (item.back() == ' ' || item.back() == '\t'))
            item.remove_suffix(1);
        if (equals(item, name))
            return true;
        list.remove_prefix(std::min(end + 1, list.size()));
    }
    return false;
}

bool is_below(std::string_view path, std::string_view prefix) {
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

/// Dot segments, empty segments and encoded characters may lead a service to another path than the rule saw.
bool is_plain(std::string_view path) {
    auto const plain = [](char letter) {
        return std::isalnum(static_cast<unsigned char>(letter)) != 0 || letter == '-' || letter == '_' ||
               letter == '.' || letter == '~' || letter == '/';
    };
    return std::ranges::all_of(path, plain) && path.find("//") == std::string_view::npos &&
           path.find("/.") == std::string_view::npos;
}

std::uint64_t fingerprint_of(std::string_view service, plain_call const& call) {
    auto const name = base::hash_text(service);
    return base::hash_text(call.body, base::hash_text(call.path, base::hash_text(call.method, name)));
}

} // namespace

base::result<service_path> parse_service_path(std::string_view target) {
    if (!target.starts_with(services_prefix))
        return base::make_error(base::error_kind::not_found, "no such path");
    target.remove_prefix(services_prefix.size());
    auto const end = target.find_first_of("/?");
    if (end == 0 || target.empty())
        return base::make_error(base::error_kind::not_found, "the path names no service");
    if (end == std::string_view::npos)
        return service_path{std::string(target), "/"};
    std::string rest(target.substr(end));
    if (rest.front() == '?')
        rest.insert(0, 1, '/');
    return service_path{std::string(target.substr(0, end)), std::move(rest)};
}

catalogue::call_semantics semantics_of(catalogue::service const& service, std::string_view method,
                                       std::string_view path) {
    auto const plain = path.substr(0, path.find('?'));
    if (!is_plain(plain))
        return catalogue::call_semantics::non_idempotent;
    auto const rule = std::ranges::find_if(service.call_rules, [&](catalogue::call_rule const& candidate) {
        return candidate.method == method && is_below(plain, candidate.path_prefix);
    });
    return rule == service.call_rules.end() ? catalogue::call_semantics::non_idempotent : rule->semantics;
}

std::vector<call_header> forwarded_headers(http::request const& received) {
    auto const connection = http::header_value(received, "Connection");
    std::vector<call_header> headers;
    for (auto const& field : received) {
        std::string_view const name{field.name_string().data(), field.name_string().size()};
        bool const withheld =
            std::ranges::any_of(withheld_headers, [&](std::string_view item) { return equals(item, name); });
        if (!withheld && !is_listed(connection, name))
            headers.push_back({std::string(name), std::string(field.value().data(), field.value().size())});
    }
    return headers;
}

base::result<plain_call> make_plain_call(catalogue::service const& service, std::string path,
                                         http::request const& received) {
    plain_call call;
    call.method = std::string(received.method_string().data(), received.method_string().size());
    if (call.method == "CONNECT" || call.method == "TRACE")
        return base::make_error(base::error_kind::bad_request, "the method is not passed on");
    call.path = std::move(path);
    call.headers = forwarded_headers(received);
    call.body = received.body();
    call.semantics = semantics_of(service, call.method, call.path);
    call.fingerprint = fingerprint_of(service.name, call);
    if (call.semantics == catalogue::call_semantics::idempotent)
        return call;
    if (received.count("Idempotency-Key") > 1)
        return base::make_error(base::error_kind::bad_request, "more than one idempotency key");
    auto const text = http::header_value(received, key_header);
    if (text.empty()) {
        return base::make_error(base::error_kind::missing_idempotency_key,
                                "the call is not idempotent and needs an Idempotency-Key header");
    }
    BOOST_OUTCOME_TRY(auto key, once::idempotency_key::parse(text));
    call.key = std::move(key);
    return call;
}

wire::schema::SubmitCallT to_message(plain_call const& call) {
    wire::schema::SubmitCallT message;
    message.method = call.method;
    message.path = call.path;
    for (auto const& item : call.headers) {
        auto header = std::make_unique<wire::schema::HeaderT>();
        header->name = item.name;
        header->value = item.value;
        message.headers.push_back(std::move(header));
    }
    message.body.assign(call.body.begin(), call.body.end());
    message.idempotent = call.semantics == catalogue::call_semantics::idempotent;
    if (call.key)
        message.key = call.key->text();
    message.fingerprint = call.fingerprint;
    return message;
}

http::response to_response(wire::schema::CallAnswerT const& answer) {
    http::response response;
    response.version(http::http_version_1_1);
    response.result(answer.status);
    for (auto const& header : answer.headers)
        response.insert(header->name, header->value);
    response.body().assign(answer.body.begin(), answer.body.end());
    return response;
}

} // namespace cyclamenledge::entry
