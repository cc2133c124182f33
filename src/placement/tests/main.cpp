#include "placement/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::placement;
  return oriolevane::testing::RunStories(aCount,
                                         aArguments,
                                         { { "fencing", FencingStory },
                                           { "leases", LeaseStory },
                                           { "intake", IntakeStory },
                                           { "queue", QueueStory },
                                           { "gangs", GangStory },
                                           { "health", HealthStory },
                                           { "chaos", ChaosStory } });
}
