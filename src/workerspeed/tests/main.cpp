#include "workerspeed/tests/testgroups.h"

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "relative run time", oriolevane::RelativeRunTimeTests },
      { "speed preference", oriolevane::SpeedPreferenceTests },
      { "step run times", oriolevane::StepRunTimesTests },
      { "straggler policy", oriolevane::StragglerPolicyTests } });
}
