#include "framework/testing/testgroup.h"

#include <algorithm>
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

std::string requiredText;
std::vector<std::string> excludedTexts;

class FunctionTest : public CppUnit::TestCase
{
public:
  FunctionTest(const std::string& aPath, std::function<void()> aBody)
    : CppUnit::TestCase(aPath)
    , mBody(std::move(aBody))
  {
  }
  void runTest() override { mBody(); }

private:
  std::function<void()> mBody;
};

class ProgressPrinter : public CppUnit::TestListener
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
  const bool isExcluded = std::any_of(
    excludedTexts.begin(), excludedTexts.end(), [&path](const auto& aText) {
      return path.find(aText) != std::string::npos;
    });
  if (!isExcluded && path.find(requiredText) != std::string::npos) {
    mSuite->addTest(new FunctionTest(path, std::move(aBody)));
  }
  return *this;
}

CppUnit::TestSuite*
Section::Release()
{
  return mSuite.release();
}

int
RunTests(int aCount, char** aArguments, const std::vector<TestGroup>& aGroups)
{
  const bool excludes = aCount > 2 && std::string(aArguments[1]) == "--except";
  excludedTexts.clear();
  if (excludes) {
    excludedTexts.assign(aArguments + 2, aArguments + aCount);
  }
  requiredText = aCount > 1 && !excludes ? aArguments[1] : "";
  CppUnit::TestResult result;
  CppUnit::TestResultCollector collector;
  ProgressPrinter progress;
  result.addListener(&collector);
  result.addListener(&progress);
  // The collector's failures refer to the tests, so the suites must stay alive
  // until the outputter has written them.
  std::vector<std::unique_ptr<CppUnit::Test>> suites;
  for (const TestGroup& group : aGroups) {
    Section root(group.mName);
    group.mBody(root);
    suites.emplace_back(root.Release());
    suites.back()->run(&result);
  }
  CppUnit::CompilerOutputter(&collector, std::cout).write();
  return collector.wasSuccessful() ? 0 : 1;
}

} // namespace oriolevane::testing
