#include "forwarding/route_set.h"

#include <utility>

namespace cyclamenledge::forwarding {

route_set::route_set(std::uint64_t version, std::vector<route> routes, std::vector<service> services,
                     std::vector<organisation> organisations, input_limits limits)
    : version_(version)
    , routes_(std::move(routes))
    , services_(std::move(services))
    , organisations_(std::move(organisations))
    , limits_(limits) {
    for (std::size_t index = 0; index < routes_.size(); ++index)
        route_index_[routes_[index].host].emplace(routes_[index].prefix, index);
    for (std::size_t index = 0; index < services_.size(); ++index)
        service_index_.emplace(services_[index].name, index);
    for (std::size_t index = 0; index < organisations_.size(); ++index) {
        for (auto const& key : organisations_[index].api_keys)
            key_index_.emplace(key, index);
    }
}

route const* route_set::find_route(std::string_view host, std::string_view path) const {
    auto const prefixes = route_index_.find(host);
    if (prefixes == route_index_.end())
        return nullptr;
    // Every prefix ends with a slash, so only substrings of the path that end with a slash can match.
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        auto const found = prefixes->second.find(path.substr(0, end + 1));
        if (found != prefixes->second.end())
            return &routes_[found->second];
        if (end == 0)
            break;
    }
    return nullptr;
}

service const* route_set::find_service(std::string_view name) const {
    auto const found = service_index_.find(name);
    return found == service_index_.end() ? nullptr : &services_[found->second];
}

organisation const* route_set::find_organisation(std::string_view api_key) const {
    auto const found = key_index_.find(api_key);
    return found == key_index_.end() ? nullptr : &organisations_[found->second];
}

} // namespace cyclamenledge::forwarding
