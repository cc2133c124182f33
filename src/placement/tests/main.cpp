#include "placement/tests/testgroups.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::placement;
  return oriolevane::testing::RunTests(aCount,
                                       aArguments,
                                       { { "fencing", FencingTests },
                                         { "leases", LeaseTests },
                                         { "intake", IntakeTests },
                                         { "queue", QueueTests },
                                         { "gangs", GangTests },
                                         { "health", HealthTests },
                                         { "chaos", ChaosTests } });
}
