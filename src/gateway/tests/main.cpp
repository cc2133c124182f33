#include "framework/testing/testgroup.h"

namespace oriolevane::gateway {
void
AnswersStory(testing::Section& aStory);
void
ConfigurationStory(testing::Section& aStory);
void
HostileCallersStory(testing::Section& aStory);
void
OutcomesStory(testing::Section& aStory);
void
ReadDeadlineTests(testing::Section& aRoot);
void
ServerStory(testing::Section& aStory);
void
SubmissionsStory(testing::Section& aStory);
}

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane;
  return testing::RunTests(
    aCount,
    aArguments,
    { { "the outcome", gateway::OutcomesStory },
      { "a submission", gateway::SubmissionsStory },
      { "the configuration", gateway::ConfigurationStory },
      { "an answer", gateway::AnswersStory },
      { "a read deadline", gateway::ReadDeadlineTests },
      { "the server", gateway::ServerStory },
      { "a caller that", gateway::HostileCallersStory } });
}
