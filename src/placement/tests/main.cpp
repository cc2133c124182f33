#include "placement/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::placement;
  return oriolevane::testing::RunStories(
    aCount, aArguments, { { "fencing", FencingStory } });
}
