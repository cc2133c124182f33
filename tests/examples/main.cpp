#include "framework/testing/story.h"

namespace oriolevane::examples {
void
ExamplesStory(testing::Section& aStory);
}

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunStories(
    aCount,
    aArguments,
    { { "examples", oriolevane::examples::ExamplesStory } });
}
