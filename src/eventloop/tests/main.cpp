#include "eventloop/tests/testgroups.h"

int
main(int aCount, char** aArguments)
{
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "connection table", oriolevane::ConnectionTableTests },
      { "frame link", oriolevane::FrameLinkTests },
      { "http exchange", oriolevane::HttpExchangeTests },
      { "hostile servers", oriolevane::HostileServerTests } });
}
