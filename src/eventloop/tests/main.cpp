#include "eventloop/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunStories(
    aCount,
    aArguments,
    { { "frame link", oriolevane::FrameLinkStory },
      { "http exchange", oriolevane::HttpExchangeStory } });
}
