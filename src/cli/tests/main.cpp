#include "framework/testing/testgroup.h"

namespace oriolevane::cli {
void
ApiClientStory(testing::Section& aStory);
void
CommandsStory(testing::Section& aStory);
void
OutputStory(testing::Section& aStory);
}

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane;
  return testing::RunTests(aCount,
                           aArguments,
                           { { "a call", cli::ApiClientStory },
                             { "a command", cli::CommandsStory },
                             { "output", cli::OutputStory } });
}
