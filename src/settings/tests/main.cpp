#include "framework/testing/testgroup.h"

namespace oriolevane::settings {
void
NodeSettingsStory(testing::Section& aStory);
}

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "node settings", oriolevane::settings::NodeSettingsStory } });
}
