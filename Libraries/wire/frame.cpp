#include "wire/frame.h"

#include <utility>

namespace cyclamenledge::wire {

namespace {

// Messages are flat; the deepest is a vector of tables in a table.
constexpr flatbuffers::uoffset_t maximum_table_depth = 8;
constexpr flatbuffers::uoffset_t maximum_tables = 100000;

} // namespace

base::result<frame_header> parse_frame_header(std::span<std::uint8_t const, frame_header_bytes> bytes) {
    std::size_t const length = static_cast<std::size_t>(bytes[0]) | static_cast<std::size_t>(bytes[1]) << 8U |
                               static_cast<std::size_t>(bytes[2]) << 16U | static_cast<std::size_t>(bytes[3]) << 24U;
    if (bytes[4] != protocol_version)
        return base::make_error(base::error_kind::protocol_error,
                                "unsupported protocol version " + std::to_string(bytes[4]));
    auto const kind = parse_message_kind(bytes[5]);
    if (!kind)
        return base::make_error(base::error_kind::protocol_error, "unknown message kind " + std::to_string(bytes[5]));
    if (length > maximum_body_bytes)
        return base::make_error(base::error_kind::protocol_error,
                                "frame of " + std::to_string(length) + " bytes is over the bound");
    return frame_header{length, *kind};
}

base::result<frame> verify_frame(message_kind kind, std::string body) {
    auto const* data = reinterpret_cast<std::uint8_t const*>(body.data());
    flatbuffers::Verifier verifier{data, body.size(), maximum_table_depth, maximum_tables};
    if (!definition_of(kind).verify(verifier))
        return base::make_error(base::error_kind::protocol_error,
                                "malformed " + std::string(definition_of(kind).name) + " frame");
    frame verified;
    verified.kind_ = kind;
    verified.body_ = std::move(body);
    return verified;
}

std::string encode_frame(message_kind kind, flatbuffers::FlatBufferBuilder const& builder) {
    auto const length = static_cast<std::uint32_t>(builder.GetSize());
    std::string bytes;
    bytes.reserve(frame_header_bytes + length);
    for (unsigned shift = 0; shift < 32; shift += 8)
        bytes.push_back(static_cast<char>((length >> shift) & 0xffU));
    bytes.push_back(static_cast<char>(protocol_version));
    bytes.push_back(static_cast<char>(kind));
    bytes.append(reinterpret_cast<char const*>(builder.GetBufferPointer()), length);
    return bytes;
}

} // namespace cyclamenledge::wire
