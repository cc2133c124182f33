// Plays one case: reviewcase NAME NET NODES RECORD. The environment's TROUBLE=0
// leaves the disruption out. The exit code is 1 when the rule was broken, 0
// when it held, and 2 when the case could not run.
#include <cstdlib>
#include <exception>
#include <functional>
#include <iostream>
#include <map>

#include "scenario.h"

int
main(int aCount, char** aArguments)
{
  using namespace review;
  constexpr int kArguments = 5;
  const std::map<std::string, std::function<Verdict(Scenario&)>> cases{
    { "many-dependencies", RunManyDependencies },
    { "removed-queue", RunRemovedQueue },
    { "other-kind", RunOtherKind },
    { "waiting-gang", RunWaitingGang },
    { "foreign-entry", RunForeignEntry }
  };
  if (aCount != kArguments || !cases.contains(aArguments[1])) {
    std::cerr << "usage: reviewcase NAME NET NODES RECORD\n";
    return static_cast<int>(Verdict::NotRun);
  }
  const char* trouble = std::getenv("TROUBLE");
  try {
    Scenario scenario(
      { .mNet = aArguments[2],
        .mNodes = std::atoi(aArguments[3]),
        .mTrouble = trouble == nullptr || std::string(trouble) != "0",
        .mRecordFile = aArguments[4] });
    return static_cast<int>(cases.at(aArguments[1])(scenario));
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return static_cast<int>(Verdict::NotRun);
  }
}
