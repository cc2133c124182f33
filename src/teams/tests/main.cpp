#include "teams/tests/testgroups.h"

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunTests(
    aCount, aArguments, { { "key table", oriolevane::KeyTableTests } });
}
