#pragma once

#include "base/result.h"
#include "wire/message_kind.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>

namespace cyclamenledge::wire {

inline constexpr std::uint8_t protocol_version = 1;
/// Length (4 bytes, little endian), version and kind.
inline constexpr std::size_t frame_header_bytes = 6;
/// A body of 1 MiB from a caller plus its envelope.
inline constexpr std::size_t maximum_body_bytes = 1024 * 1024 + 64 * 1024;

struct frame_header {
    std::size_t body_bytes{0};
    message_kind kind{message_kind::hello};
};

/// A received body that has been verified against the schema of its kind.
class frame {
public:
    message_kind kind() const { return kind_; }
    std::size_t size() const { return frame_header_bytes + body_.size(); }

    /// Unpacks the body. The caller has checked the kind.
    template <class Native>
    Native unpack() const {
        Native message;
        flatbuffers::GetRoot<typename message_traits<Native>::table>(body_.data())->UnPackTo(&message);
        return message;
    }

private:
    friend base::result<frame> verify_frame(message_kind kind, std::string body);
    message_kind kind_{message_kind::hello};
    std::string body_;
};

/// Fails with protocol_error for another version, an unknown kind or a body over the bound.
base::result<frame_header> parse_frame_header(std::span<std::uint8_t const, frame_header_bytes> bytes);

/// Fails with protocol_error when the body does not follow the schema of its kind.
base::result<frame> verify_frame(message_kind kind, std::string body);

std::string encode_frame(message_kind kind, flatbuffers::FlatBufferBuilder const& builder);

/// Header and body of a message, ready to be sent.
template <class Native>
std::string encode(Native const& message) {
    using traits = message_traits<Native>;
    flatbuffers::FlatBufferBuilder builder{256};
    builder.Finish(traits::table::Pack(builder, &message));
    return encode_frame(traits::kind, builder);
}

} // namespace cyclamenledge::wire
