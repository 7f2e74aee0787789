#include "forwarding/permit_issuer_choice.h"

#include "base/hash.h"

#include <cstdint>

namespace cyclamenledge::forwarding {

std::string_view choose_permit_issuer(std::string_view target, std::span<std::string const> engine_addresses) {
    auto const seed = base::hash_text(target);
    std::string_view best;
    std::uint64_t best_score = 0;
    for (auto const& address : engine_addresses) {
        auto const score = base::hash_text(address, seed);
        if (best.empty() || score > best_score || (score == best_score && address < best)) {
            best = address;
            best_score = score;
        }
    }
    return best;
}

} // namespace cyclamenledge::forwarding
