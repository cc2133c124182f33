#include "framework/testing/story.h"

#include <iostream>
#include <utility>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestCase.h>
#include <cppunit/TestFailure.h>
#include <cppunit/TestListener.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>

namespace oriolevane::testing {

namespace {

std::string testFilter;
std::string testException;

class StoryTest : public CppUnit::TestCase
{
public:
  StoryTest(const std::string& aPath, std::function<void()> aBody)
    : CppUnit::TestCase(aPath)
    , mBody(std::move(aBody))
  {
  }
  void runTest() override { mBody(); }

private:
  std::function<void()> mBody;
};

class Narrator : public CppUnit::TestListener
{
public:
  void startTest(CppUnit::Test* aTest) override
  {
    mFailed = false;
    std::cout << aTest->getName() << std::flush;
  }
  void addFailure(const CppUnit::TestFailure&) override { mFailed = true; }
  void endTest(CppUnit::Test*) override
  {
    std::cout << (mFailed ? ": FAILED" : ": ok") << std::endl;
  }

private:
  bool mFailed = false;
};

} // namespace

Section::Section(std::string aPath)
  : mPath(std::move(aPath))
  , mSuite(std::make_unique<CppUnit::TestSuite>(mPath))
{
}

Section&
Section::Describe(const std::string& aName,
                  const std::function<void(Section&)>& aBody)
{
  Section nested(mPath + " / " + aName);
  aBody(nested);
  mSuite->addTest(nested.Release());
  return *this;
}

Section&
Section::It(const std::string& aName, std::function<void()> aBody)
{
  const std::string path = mPath + " / " + aName;
  const bool isExcepted =
    !testException.empty() && path.find(testException) != std::string::npos;
  if (!isExcepted && path.find(testFilter) != std::string::npos) {
    mSuite->addTest(new StoryTest(path, std::move(aBody)));
  }
  return *this;
}

CppUnit::TestSuite*
Section::Release()
{
  return mSuite.release();
}

int
RunStories(int aCount, char** aArguments, const std::vector<Story>& aStories)
{
  const bool excepts = aCount > 2 && std::string(aArguments[1]) == "--except";
  testException = excepts ? aArguments[2] : "";
  testFilter = aCount > 1 && !excepts ? aArguments[1] : "";
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  Narrator narrator;
  result.addListener(&collector);
  result.addListener(&narrator);
  // The collector's failures point at the tests until they are written out.
  std::vector<std::unique_ptr<CppUnit::Test>> suites;
  for (const Story& story : aStories) {
    Section root(story.mName);
    story.mBody(root);
    suites.emplace_back(root.Release());
    suites.back()->run(&result);
  }
  CppUnit::CompilerOutputter(&collector, std::cout).write();
  return collector.wasSuccessful() ? 0 : 1;
}

} // namespace oriolevane::testing
