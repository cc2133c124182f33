#include "framework/testing/testgroup.h"

namespace oriolevane::examples {
void
ExamplesStory(testing::Section& aStory);
}

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "examples", oriolevane::examples::ExamplesStory } });
}
