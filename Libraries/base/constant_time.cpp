#include "base/constant_time.h"

#include <openssl/crypto.h>

namespace cyclamenledge::base {

bool equal_secrets(std::string_view left, std::string_view right) {
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace cyclamenledge::base
