#pragma once

#include "base/random.h"
#include "base/result.h"
#include "base/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace cyclamenledge::once {

/// A caller's `Idempotency-Key`: either a UUIDv7 (RFC 9562) with its creation time, or opaque text.
class idempotency_key {
public:
    /// In bytes. Bounds the memory of one record of the key tables.
    static constexpr std::size_t maximum_length = 128;

    /// Accepts 1 to maximum_length printable ASCII characters without spaces. The hexadecimal digits of a UUIDv7 are
    /// converted to lower case, so that two spellings of one UUID are one key.
    static base::result<idempotency_key> parse(std::string_view text);
    /// Creates a UUIDv7 with the creation time `now`.
    static idempotency_key issue(base::wall_time now, base::random_source& random);

    std::string const& text() const { return text_; }
    /// The creation time, or empty for an opaque key.
    std::optional<base::wall_time> created() const { return created_; }

private:
    idempotency_key(std::string text, std::optional<base::wall_time> created);

    std::string text_;
    std::optional<base::wall_time> created_;
};

/// The lookup key of the key tables. It includes the organisation, so that equal keys of different organisations do not
/// collide.
std::string scoped_key(std::string_view organisation, idempotency_key const& key);

} // namespace cyclamenledge::once
