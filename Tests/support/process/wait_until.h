#pragma once

#include <cppunit/TestAssert.h>

#include <chrono>
#include <string>
#include <thread>

namespace cyclamenledge::tests::process {

/// Longest wait for a condition that holds soon on an idle machine. It is generous because tests also run under load.
inline constexpr std::chrono::seconds patience{60};

/// Polls a condition. False when it does not hold in time.
template <class Condition>
bool holds_within(std::chrono::milliseconds longest, Condition const& condition) {
    auto const ends = std::chrono::steady_clock::now() + longest;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= ends)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds{10});
    }
    return true;
}

/// Polls a condition and fails the test when it does not hold in time.
template <class Condition>
void wait_until(std::string const& what, Condition const& condition, std::chrono::milliseconds longest = patience) {
    CPPUNIT_ASSERT_MESSAGE("not in time: " + what, holds_within(longest, condition));
}

} // namespace cyclamenledge::tests::process
