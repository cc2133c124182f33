#include "framework/testing/testgroup.h"

namespace oriolevane::node {
void
NodeCoreStory(testing::Section& aStory);
}

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunTests(
    aCount, aArguments, { { "node core", oriolevane::node::NodeCoreStory } });
}
