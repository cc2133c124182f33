// Describe/It style tests on top of CppUnit. A test group contains nested
// sections and tests, and the names on the path to a test read as a sentence.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/TestAssert.h>
#include <cppunit/TestSuite.h>

namespace oriolevane::testing {

// A node in the tree of sections. The tree is built once at start, and each
// test body sets up its own state.
class Section
{
public:
  explicit Section(std::string aPath);

  // Adds a nested section and calls aBody to add its tests.
  Section& Describe(const std::string& aName,
                    const std::function<void(Section&)>& aBody);
  // Adds a test. The body makes its checks with the CPPUNIT_ASSERT macros.
  Section& It(const std::string& aName, std::function<void()> aBody);
  // Returns the suite and passes its ownership to the caller.
  CppUnit::TestSuite* Release();

private:
  std::string mPath;
  std::unique_ptr<CppUnit::TestSuite> mSuite;
};

// A named root section and the function that adds its tests.
struct TestGroup
{
  std::string mName;
  std::function<void(Section&)> mBody;
};

// Runs all tests, or only those whose path contains the first command line
// argument. With "--except TEXT...", runs all tests but those whose path
// contains one of the texts. Prints the result of each test and returns the
// exit code for main().
int
RunTests(int aCount, char** aArguments, const std::vector<TestGroup>& aGroups);

} // namespace oriolevane::testing
