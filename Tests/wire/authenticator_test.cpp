#include "support/table_test.h"
#include "wire/authenticator.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace cyclamenledge::tests {

namespace {

struct key_row {
    char const* name;
    std::vector<std::string> signer;
    std::vector<std::string> verifier;
    bool accepted;
};

std::string const first_key = "first-shared-key-0123";
std::string const second_key = "second-shared-key-0123";

} // namespace

class authenticator_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(authenticator_test);
    CPPUNIT_TEST(proofs_follow_the_accepted_keys);
    CPPUNIT_TEST(proof_is_bound_to_the_transcript);
    CPPUNIT_TEST(unusable_keys_are_refused);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an outage while keys are rotated, and against a process that does not know a key.
    void proofs_follow_the_accepted_keys() {
        static key_row const rows[] = {
            {"same key", {first_key}, {first_key}, true},
            {"verifier rotates first", {first_key}, {second_key, first_key}, true},
            {"signer rotates first", {second_key, first_key}, {first_key, second_key}, true},
            {"other key", {first_key}, {second_key}, false},
        };
        for_each_row(rows, [this](key_row const& row) {
            auto const signer = wire::authenticator::create(row.signer);
            auto const verifier = wire::authenticator::create(row.verifier);
            auto const proof = signer.value().sign(wire::handshake_side::accepting, transcript());
            CPPUNIT_ASSERT_EQUAL(row.accepted,
                                 verifier.value().verify(wire::handshake_side::accepting, transcript(), proof));
        });
    }

    // Guards against replay of a proof for another side, nonce or process.
    void proof_is_bound_to_the_transcript() {
        auto const keys = wire::authenticator::create({first_key}).value();
        auto const proof = keys.sign(wire::handshake_side::accepting, transcript());
        CPPUNIT_ASSERT(!keys.verify(wire::handshake_side::connecting, transcript(), proof));
        auto other_identity = transcript();
        other_identity.connecting_identity = "another process";
        CPPUNIT_ASSERT(!keys.verify(wire::handshake_side::accepting, other_identity, proof));
        auto other_nonce = transcript();
        other_nonce.accepting_nonce = connecting_nonce_;
        CPPUNIT_ASSERT(!keys.verify(wire::handshake_side::accepting, other_nonce, proof));
    }

    // Guards against running without authentication because of an empty or guessable key.
    void unusable_keys_are_refused() {
        CPPUNIT_ASSERT(!wire::authenticator::create({}).has_value());
        CPPUNIT_ASSERT(!wire::authenticator::create({"short"}).has_value());
        CPPUNIT_ASSERT(!wire::authenticator::create({first_key, second_key, first_key}).has_value());
    }

private:
    wire::handshake_transcript transcript() const {
        return {connecting_nonce_, accepting_nonce_, "connecting process", "accepting process"};
    }

    wire::byte_vector connecting_nonce_ = wire::byte_vector(wire::nonce_bytes, 1);
    wire::byte_vector accepting_nonce_ = wire::byte_vector(wire::nonce_bytes, 2);
};

CPPUNIT_TEST_SUITE_REGISTRATION(authenticator_test);

} // namespace cyclamenledge::tests
