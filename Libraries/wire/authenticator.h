#pragma once

#include "base/result.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cyclamenledge::wire {

using byte_vector = std::vector<std::uint8_t>;

inline constexpr std::size_t nonce_bytes = 32;
inline constexpr std::size_t minimum_key_bytes = 16;
inline constexpr std::size_t maximum_keys = 2;

/// Which side of the handshake a proof belongs to, so that one side's proof cannot be replayed as the other's.
enum class handshake_side : std::uint8_t { accepting, connecting };

/// The values that both sides prove to have seen.
struct handshake_transcript {
    std::span<std::uint8_t const> connecting_nonce;
    std::span<std::uint8_t const> accepting_nonce;
    std::string connecting_identity;
    std::string accepting_identity;
};

/// Proves and checks knowledge of a shared key with HMAC-SHA256. Up to two keys are accepted while a key is rotated.
class authenticator {
public:
    /// The first key signs, all of them are accepted. Fails when there is no key, too many, or one is too short.
    static base::result<authenticator> create(std::vector<std::string> keys);

    /// Proof by the first key.
    byte_vector sign(handshake_side side, handshake_transcript const& transcript) const;
    bool verify(handshake_side side, handshake_transcript const& transcript, std::span<std::uint8_t const> proof) const;

    static base::result<byte_vector> make_nonce();

private:
    std::vector<std::string> keys_;
};

/// The text that binds a handshake to a process: name, incarnation, role and failure domain.
std::string identity_text(std::string const& process, std::uint64_t incarnation, std::uint8_t role,
                          std::string const& failure_domain);

} // namespace cyclamenledge::wire
