#include "coordination/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::coordination;
  return oriolevane::testing::RunStories(
    aCount,
    aArguments,
    { { "request life", RequestLifeStory },
      { "promises", PromisesStory },
      { "gangs", GangsStory },
      { "admission", AdmissionStory },
      { "recovery", RecoveryStory },
      { "random faults", RandomFaultsStory } });
}
