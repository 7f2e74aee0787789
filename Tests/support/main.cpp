#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>

/// Runs every registered test, or those under the path given as the first argument.
int main(int argument_count, char** arguments) {
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);

    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller, argument_count > 1 ? arguments[1] : "");

    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    auto const failed = collector.testFailuresTotal();
    std::cout << "cases: " << collector.runTests() - failed << " passed, " << failed << " failed\n";
    return collector.runTests() > 0 && collector.wasSuccessful() ? 0 : 1;
}
