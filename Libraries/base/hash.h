#pragma once

#include <cstdint>
#include <string_view>

namespace cyclamenledge::base {

/// 64-bit xxHash (XXH3) of text. The same in every process.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0);

/// Score of a candidate for a key in rendezvous hashing. The candidate with the highest score owns the key.
std::uint64_t rendezvous_score(std::string_view key, std::string_view candidate);

} // namespace cyclamenledge::base
