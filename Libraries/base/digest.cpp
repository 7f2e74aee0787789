#include "base/digest.h"

#include <openssl/evp.h>

#include <array>

namespace cyclamenledge::base {

std::string sha256_hex(std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
    unsigned length = 0;
    EVP_Digest(text.data(), text.size(), bytes.data(), &length, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string result;
    for (unsigned index = 0; index < length; ++index) {
        result += digits[bytes.at(index) >> 4U];
        result += digits[bytes.at(index) & 0xfU];
    }
    return result;
}

} // namespace cyclamenledge::base
