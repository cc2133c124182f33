#include "framework/log.h"
#include "teams/tests/testgroups.h"

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "key table", oriolevane::KeyTableTests },
      { "quota ledger", oriolevane::QuotaLedgerTests },
      { "shares", oriolevane::ShareTests } });
}
