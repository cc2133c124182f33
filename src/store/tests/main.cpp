#include "store/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::store;
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "table wire", TableWireStory }, { "bad answers", BadAnswersStory } });
}
