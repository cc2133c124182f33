#include "framework/log.h"
#include "occurrences/tests/testgroups.h"

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "occurrence window", oriolevane::OccurrenceWindowTests } });
}
