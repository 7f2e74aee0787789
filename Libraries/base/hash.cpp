#include "base/hash.h"

#include <xxhash.h>

namespace cyclamenledge::base {

std::uint64_t hash_text(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate) {
    return hash_text(candidate, hash_text(key));
}

} // namespace cyclamenledge::base
