#include "generation_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace cyclamenledge::tests {

class completion_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(completion_test);
    CPPUNIT_TEST(streams_and_answers_whole);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a path between caller and engine that loses, repeats or reorders tokens on an idle system.
    void streams_and_answers_whole() {
        generation_world world;
        world.add_target("text-1");
        world.start_all({"--speed", "10"});
        auto const reader = world.open("alpha", 200);
        world.read_all(*reader);
        assert_complete(reader->result(), 200, world);

        auto const whole = process::post(world.caller_address(), "/v1/completions", completion_body("beta", 30, false),
                                         process::bearer(world.key()));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(whole.body + world.describe(), 200U, whole.status);
        std::string expected;
        for (int index = 0; index < 30; ++index)
            expected += "beta:" + std::to_string(index) + " ";
        CPPUNIT_ASSERT_EQUAL(expected, std::string(whole.json().at_pointer("/choices/0/text").as_string()));
        world.find("entry-1").stop_planned();
        world.find("text-1").stop_planned();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(completion_test);

} // namespace cyclamenledge::tests
