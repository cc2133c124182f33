#include "peers/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::peers;
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "framing", FramingStory },
      { "peer table", PeerTableStory },
      { "peer mesh", PeerMeshStory },
      { "hostile peers", HostilePeerStory } });
}
