// Runs all registered CppUnit suites and prints failures like compiler errors. Fails if no test ran.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

int main()
{
    CppUnit::TestResult controller;
    CppUnit::TestResultCollector collector;
    CppUnit::BriefTestProgressListener progress;
    controller.addListener(&collector);
    controller.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(controller);
    CppUnit::CompilerOutputter outputter(&collector, std::cerr);
    outputter.write();
    const bool has_run_tests = collector.runTests() > 0;
    return has_run_tests && collector.wasSuccessful() ? 0 : 1;
}
