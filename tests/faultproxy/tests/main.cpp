#include "faultproxy/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane;
  return testing::RunTests(
    aCount, aArguments, { { "fault proxy", faultproxy::ProxyStory } });
}
