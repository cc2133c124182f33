#include "framework/log.h"
#include "progress/tests/testgroups.h"

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount, aArguments, { { "run progress", oriolevane::RunProgressTests } });
}
