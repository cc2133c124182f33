#include "membership/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::membership;
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "ownership", OwnershipStory },
      { "membership rows", RowCodecStory },
      { "peer health", PeerHealthStory },
      { "membership thread", MembershipThreadStory } });
}
