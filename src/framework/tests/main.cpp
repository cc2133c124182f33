#include "framework/tests/testgroups.h"

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunStories(
    aCount,
    aArguments,
    { { "bounded queue", oriolevane::BoundedQueueTests },
      { "log rate limiter", oriolevane::LogRateLimiterTests } });
}
