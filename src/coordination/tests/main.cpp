#include "coordination/tests/testgroups.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::coordination;
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "request lifecycle", RequestLifecycleTests },
      { "guarantees", GuaranteeTests },
      { "gangs", GangTests },
      { "admission", AdmissionTests },
      { "recovery", RecoveryTests },
      { "random faults", RandomFaultTests } });
}
