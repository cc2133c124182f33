#include "standins/worker/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::standins;
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "worker model", WorkerModelStory },
      { "worker server", WorkerServerStory } });
}
