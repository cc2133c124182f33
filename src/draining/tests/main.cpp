#include "draining/tests/testgroups.h"
#include "framework/log.h"

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount, aArguments, { { "eviction", oriolevane::EvictionPolicyTests } });
}
