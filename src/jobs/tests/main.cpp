#include "framework/log.h"
#include "jobs/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunStories(
    aCount,
    aArguments,
    { { "job lifecycle", oriolevane::JobLifeStory },
      { "gang", oriolevane::GangStory },
      { "takeover", oriolevane::TakeOverStory },
      { "worker failures", oriolevane::WorkerTroubleStory },
      { "advice", oriolevane::AdviceStory },
      { "record log", oriolevane::RecordLogStory },
      { "load", oriolevane::LoadStory },
      { "random trouble", oriolevane::RandomTroubleStory } });
}
