#include "faultproxy/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane;
  return testing::RunStories(
    aCount, aArguments, { { "fault proxy", faultproxy::ProxyStory } });
}
