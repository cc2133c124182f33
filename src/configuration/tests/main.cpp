#include "configuration/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane;
  return testing::RunTests(
    aCount,
    aArguments,
    { { "cell policy", configuration::CellPolicyStory },
      { "configuration store", configuration::ConfigurationStoreStory } });
}
