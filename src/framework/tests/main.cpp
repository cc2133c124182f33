#include "framework/tests/testgroups.h"

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "bounded queue", oriolevane::BoundedQueueTests },
      { "log rate limiter", oriolevane::LogRateLimiterTests } });
}
