// Tests as nested sections over CppUnit: a story has sections, a section has
// sections and tests, and the full path of a test reads as a sentence.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <cppunit/TestAssert.h>
#include <cppunit/TestSuite.h>

namespace oriolevane::testing {

// A node in the tree of sections. Built once at start; each test body sets up
// its own state.
class Section
{
public:
  explicit Section(std::string aPath);

  // Adds a nested section and lets aBody fill it.
  Section& Describe(const std::string& aName,
                    const std::function<void(Section&)>& aBody);
  // Adds a test; the body asserts with CPPUNIT_ASSERT macros.
  Section& It(const std::string& aName, std::function<void()> aBody);
  // Gives the suite to CppUnit, which then owns it.
  CppUnit::TestSuite* Release();

private:
  std::string mPath;
  std::unique_ptr<CppUnit::TestSuite> mSuite;
};

struct Story
{
  std::string mName;
  std::function<void(Section&)> mBody;
};

// Runs all stories, or only the tests whose path holds argv[1], or with
// "--except TEXT" all but those whose path holds the text. Prints each test.
// Returns the exit code of main.
int
RunStories(int aCount, char** aArguments, const std::vector<Story>& aStories);

} // namespace oriolevane::testing
