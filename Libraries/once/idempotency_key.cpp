#include "once/idempotency_key.h"

#include <algorithm>
#include <cstdint>

namespace cyclamenledge::once {

namespace {

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;
constexpr std::string_view hexadecimal = "0123456789abcdef";
constexpr std::string_view variants = "89ab";

bool is_hyphen_position(std::size_t position) {
    return position == 8 || position == 13 || position == 18 || position == 23;
}

std::string lower_case(std::string_view text) {
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? char(character - 'A' + 'a') : character;
    });
    return lower;
}

bool is_uuid_v7(std::string_view text) {
    if (text.size() != uuid_length || text[version_position] != '7' ||
        variants.find(text[variant_position]) == std::string_view::npos)
        return false;
    for (std::size_t position = 0; position < uuid_length; ++position) {
        bool const hyphen = text[position] == '-';
        if (hyphen != is_hyphen_position(position) ||
            (!hyphen && hexadecimal.find(text[position]) == std::string_view::npos))
            return false;
    }
    return true;
}

base::wall_time creation_time(std::string_view uuid) {
    std::int64_t milliseconds_since_epoch = 0;
    for (char const digit : uuid.substr(0, 13)) {
        if (digit != '-')
            milliseconds_since_epoch =
                milliseconds_since_epoch * 16 + static_cast<std::int64_t>(hexadecimal.find(digit));
    }
    return base::wall_time{base::milliseconds{milliseconds_since_epoch}};
}

} // namespace

idempotency_key::idempotency_key(std::string text, std::optional<base::wall_time> created)
    : text_(std::move(text))
    , created_(created) {}

base::result<idempotency_key> idempotency_key::parse(std::string_view text) {
    if (text.empty())
        return base::make_error(base::error_kind::missing_idempotency_key, "the idempotency key is empty");
    if (text.size() > maximum_length)
        return base::make_error(base::error_kind::bad_request, "the idempotency key exceeds 128 characters");
    if (!std::all_of(text.begin(), text.end(), [](char character) { return character > ' ' && character <= '~'; }))
        return base::make_error(base::error_kind::bad_request, "the idempotency key has an unprintable character");
    auto lower = lower_case(text);
    if (!is_uuid_v7(lower))
        return idempotency_key(std::string(text), std::nullopt);
    auto const created = creation_time(lower);
    return idempotency_key(std::move(lower), created);
}

idempotency_key idempotency_key::issue(base::wall_time now, base::random_source& random) {
    auto const milliseconds_since_epoch = static_cast<std::uint64_t>(now.time_since_epoch().count());
    std::uint64_t const high = (milliseconds_since_epoch << 16U) | 0x7000U | (random.next() & 0xfffU);
    std::uint64_t const low = (random.next() >> 2U) | (std::uint64_t{2} << 62U);
    std::string text;
    text.reserve(uuid_length);
    for (unsigned digit = 0; digit < 32; ++digit) {
        if (is_hyphen_position(text.size()))
            text += '-';
        auto const half = digit < 16 ? high : low;
        text += hexadecimal[(half >> (60U - 4U * (digit % 16U))) & 0xfU];
    }
    return {std::move(text), now};
}

std::string scoped_key(std::string_view organisation, idempotency_key const& key) {
    // A key is printable and cannot contain the separator, so two different pairs never produce the same text.
    std::string scoped;
    scoped.reserve(organisation.size() + 1 + key.text().size());
    scoped.append(organisation).append(1, '\n').append(key.text());
    return scoped;
}

} // namespace cyclamenledge::once
