#include "wire/authenticator.h"

#include "base/constant_time.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <string_view>
#include <utility>

namespace cyclamenledge::wire {

namespace {

void append_sized(std::string& text, std::string_view part) {
    // The length before each part keeps two different transcripts from having the same bytes.
    text += std::to_string(part.size());
    text += ':';
    text += part;
}

std::string_view as_text(std::span<std::uint8_t const> bytes) {
    return {reinterpret_cast<char const*>(bytes.data()), bytes.size()};
}

byte_vector sign_with(std::string const& key, handshake_side side, handshake_transcript const& transcript) {
    std::string message = side == handshake_side::accepting ? "accepting;" : "connecting;";
    append_sized(message, as_text(transcript.connecting_nonce));
    append_sized(message, as_text(transcript.accepting_nonce));
    append_sized(message, transcript.connecting_identity);
    append_sized(message, transcript.accepting_identity);

    byte_vector proof(EVP_MAX_MD_SIZE);
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<unsigned char const*>(message.data()),
         message.size(), proof.data(), &length);
    proof.resize(length);
    return proof;
}

} // namespace

base::result<authenticator> authenticator::create(std::vector<std::string> keys) {
    if (keys.empty() || keys.size() > maximum_keys)
        return base::make_error(base::error_kind::invalid_configuration, "one or two shared keys are needed");
    for (auto const& key : keys) {
        if (key.size() < minimum_key_bytes)
            return base::make_error(base::error_kind::invalid_configuration,
                                    "a shared key is shorter than " + std::to_string(minimum_key_bytes) + " bytes");
    }
    authenticator created;
    created.keys_ = std::move(keys);
    return created;
}

byte_vector authenticator::sign(handshake_side side, handshake_transcript const& transcript) const {
    return sign_with(keys_.front(), side, transcript);
}

bool authenticator::verify(handshake_side side, handshake_transcript const& transcript,
                           std::span<std::uint8_t const> proof) const {
    bool accepted = false;
    for (auto const& key : keys_)
        accepted |= base::equal_secrets(as_text(sign_with(key, side, transcript)), as_text(proof));
    return accepted;
}

base::result<byte_vector> authenticator::make_nonce() {
    byte_vector nonce(nonce_bytes);
    if (RAND_bytes(nonce.data(), static_cast<int>(nonce.size())) != 1)
        return base::make_error(base::error_kind::internal, "no random bytes available");
    return nonce;
}

std::string identity_text(std::string const& process, std::uint64_t incarnation, std::uint8_t role,
                          std::string const& failure_domain) {
    std::string text;
    append_sized(text, process);
    append_sized(text, std::to_string(incarnation));
    append_sized(text, std::to_string(role));
    append_sized(text, failure_domain);
    return text;
}

} // namespace cyclamenledge::wire
