#include "workers/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::workers;
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "worker JSON", WorkerJsonStory },
      { "worker link", WorkerLinkStory },
      { "report handler", ReportHandlerStory } });
}
