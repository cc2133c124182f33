#include "codec/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::codec;
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "round trip", RoundTripStory },
      { "hostile frames", HostileFrameStory } });
}
