#include "platformstandin/stories.h"

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "platform over HTTP", oriolevane::standins::HttpPlatformStory },
      { "takeover over HTTP", oriolevane::standins::TakeoverStory } });
}
