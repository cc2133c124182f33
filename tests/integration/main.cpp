#include "integration/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane;
  return testing::RunTests(aCount,
                           aArguments,
                           { { "whole path", integration::WholePathStory },
                             { "failover", integration::FailoverStory },
                             { "operators", integration::OperatorsStory } });
}
