#pragma once

#include <cstdint>
#include <string>

namespace cyclamenledge::development {

/// Sizes of a generated catalogue; the defaults are the target size.
struct catalogue_size {
    std::uint32_t regions{8};
    std::uint32_t failure_domains{27};
    std::uint32_t entries{330};
    std::uint32_t targets{1700};
    std::uint32_t services{5};
    std::uint32_t organisations{14000};
};

/// A valid catalogue of generation services. Equal sizes and seeds give equal texts.
std::string generate_catalogue(catalogue_size const& size, std::uint64_t seed);

} // namespace cyclamenledge::development
