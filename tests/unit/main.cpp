/**
 * @file main.cpp
 * Runs the CppUTest tests of a program.
 */
#include <CppUTest/CommandLineTestRunner.h>

int
main(int aCount, char** aValues)
{
  // Libraries keep memory for the life of the process, which isn't a leak of a test.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return CommandLineTestRunner::RunAllTests(aCount, aValues);
}
