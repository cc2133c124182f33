#include "framework/testing/testgroup.h"

namespace oriolevane::node {
void
NodeCoreStory(testing::Section& aStory);
void
WorkerReportServerTests(testing::Section& aRoot);
}

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "node core", oriolevane::node::NodeCoreStory },
      { "the report server", oriolevane::node::WorkerReportServerTests } });
}
