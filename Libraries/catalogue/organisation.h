#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenledge::catalogue {

/// Limits over the whole fleet. Zero means that there is no limit.
struct organisation_limits {
    double requests_per_second{0};
    std::uint32_t concurrent_requests{0};
    double tokens_per_second{0};
};

/// A customer: a head office or one of its branches.
struct organisation {
    std::string name;
    std::string owner;
    /// Empty for a head office.
    std::string head_office;
    std::string service_class;
    /// SHA-256 of the bearer key in lower-case hexadecimal, so that the catalogue holds no secret.
    std::string bearer_key_sha256;
    /// Services that it may call.
    std::vector<std::string> services;
    organisation_limits limits;
    /// How far a branch may exceed its own limits while its head office has room: 0.5 allows 150%.
    double stretch{0};
};

} // namespace cyclamenledge::catalogue
