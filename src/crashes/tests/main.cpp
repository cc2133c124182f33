#include "crashes/tests/testgroups.h"
#include "framework/log.h"

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "placement", oriolevane::CrashPlacementTests },
      { "task crashes", oriolevane::TaskCrashesTests },
      { "worker failures", oriolevane::WorkerFailuresTests } });
}
