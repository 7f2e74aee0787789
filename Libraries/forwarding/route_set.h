#pragma once

#include "forwarding/route.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace cyclamenledge::forwarding {

/// One version of the operator's configuration, indexed for lookups. Immutable once built.
class route_set {
public:
    route_set(std::uint64_t version, std::vector<route> routes, std::vector<service> services,
              std::vector<organisation> organisations, input_limits limits);

    std::uint64_t version() const { return version_; }
    input_limits const& limits() const { return limits_; }
    /// Whether requests need an API key on routes that are not open to all.
    bool requires_key() const { return !organisations_.empty(); }

    /// Returns the route of the host whose prefix is the longest match for the path, or null.
    route const* find_route(std::string_view host, std::string_view path) const;
    service const* find_service(std::string_view name) const;
    /// Returns the organisation that owns the API key, or null.
    organisation const* find_organisation(std::string_view api_key) const;

    std::vector<route> const& routes() const { return routes_; }
    std::vector<service> const& services() const { return services_; }
    std::vector<organisation> const& organisations() const { return organisations_; }

private:
    struct text_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };
    template <class Value>
    using by_text = std::unordered_map<std::string, Value, text_hash, std::equal_to<>>;

    std::uint64_t version_;
    std::vector<route> routes_;
    std::vector<service> services_;
    std::vector<organisation> organisations_;
    input_limits limits_;
    // Indices instead of pointers into the vectors, so that a route set can be moved. Routes are indexed by host and
    // prefix.
    by_text<by_text<std::size_t>> route_index_;
    by_text<std::size_t> service_index_;
    by_text<std::size_t> key_index_;
};

using route_set_pointer = std::shared_ptr<route_set const>;

} // namespace cyclamenledge::forwarding
