#include "support/property.h"
#include "support/table_test.h"
#include "wire/frame.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstring>
#include <string>

namespace cyclamenledge::tests {

namespace {

struct header_row {
    char const* name;
    std::array<std::uint8_t, wire::frame_header_bytes> bytes;
    bool accepted;
};

wire::schema::TokensT sample_tokens() {
    wire::schema::TokensT message;
    message.attempt = 7;
    message.generation = "generation";
    message.first_index = 41;
    message.texts = {"one", "two"};
    return message;
}

std::string body_of(std::string const& encoded) {
    return encoded.substr(wire::frame_header_bytes);
}

} // namespace

class frame_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(frame_test);
    CPPUNIT_TEST(headers_outside_the_protocol_are_refused);
    CPPUNIT_TEST(message_survives_the_round_trip);
    CPPUNIT_TEST(damaged_bodies_never_crash);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against reading a body of another version, an unknown kind or an unbounded length.
    void headers_outside_the_protocol_are_refused() {
        static header_row const rows[] = {
            {"valid", {16, 0, 0, 0, 1, 3}, true},
            {"largest body", {0, 0, 0x11, 0, 1, 3}, true},
            {"body over the bound", {1, 0, 0x11, 0, 1, 3}, false},
            {"length of four bytes", {0xff, 0xff, 0xff, 0xff, 1, 3}, false},
            {"other version", {16, 0, 0, 0, 2, 3}, false},
            {"unknown kind", {16, 0, 0, 0, 1, 200}, false},
        };
        for_each_row(rows, [](header_row const& row) {
            CPPUNIT_ASSERT_EQUAL(row.accepted, wire::parse_frame_header(row.bytes).has_value());
        });
    }

    // Guards against members that get lost between packing and unpacking.
    void message_survives_the_round_trip() {
        auto const sent = sample_tokens();
        auto const encoded = wire::encode(sent);
        std::array<std::uint8_t, wire::frame_header_bytes> header{};
        std::memcpy(header.data(), encoded.data(), header.size());
        auto const parsed = wire::parse_frame_header(header);
        CPPUNIT_ASSERT(parsed.has_value());
        CPPUNIT_ASSERT_EQUAL(encoded.size() - wire::frame_header_bytes, parsed.value().body_bytes);
        auto const verified = wire::verify_frame(parsed.value().kind, body_of(encoded));
        CPPUNIT_ASSERT(verified.has_value());
        auto const received = verified.value().unpack<wire::schema::TokensT>();
        CPPUNIT_ASSERT_EQUAL(sent.attempt, received.attempt);
        CPPUNIT_ASSERT_EQUAL(sent.first_index, received.first_index);
        CPPUNIT_ASSERT(sent.texts == received.texts);
    }

    // Guards against a peer that crashes this process with truncated or altered bytes.
    void damaged_bodies_never_crash() {
        check_property("a damaged body is refused or unpacks",
                       [](std::vector<std::uint8_t> const& changes, std::uint8_t cut) {
                           auto body = body_of(wire::encode(sample_tokens()));
                           for (std::size_t index = 0; index + 1 < changes.size(); index += 2)
                               body[changes[index] % body.size()] = static_cast<char>(changes[index + 1]);
                           body.resize(body.size() - cut % body.size());
                           for (std::size_t kind = 0; kind < wire::message_kind_count; ++kind) {
                               auto const verified = wire::verify_frame(static_cast<wire::message_kind>(kind), body);
                               if (verified && static_cast<wire::message_kind>(kind) == wire::message_kind::tokens)
                                   verified.value().template unpack<wire::schema::TokensT>();
                           }
                       });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(frame_test);

} // namespace cyclamenledge::tests
