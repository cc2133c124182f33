#include "framework/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunStories(
    aCount,
    aArguments,
    { { "bounded ring", oriolevane::BoundedRingStory },
      { "log budget", oriolevane::LogBudgetStory } });
}
