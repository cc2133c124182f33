#include "cellnode/tests/stories.h"
#include "framework/log.h"

int
main(int aCount, char** aArguments)
{
  oriolevane::SetLogLevel(oriolevane::LogLevel::Error);
  return oriolevane::testing::RunStories(
    aCount,
    aArguments,
    { { "cell journal", oriolevane::CellJournalStory },
      { "ownership policy", oriolevane::OwnershipPolicyStory },
      { "advice dispatcher", oriolevane::AdviceDispatcherStory },
      { "pending calls", oriolevane::PendingCallsStory },
      { "timeout estimator", oriolevane::TimeoutEstimatorStory },
      { "worker calls", oriolevane::WorkerCallsStory },
      { "record codec", oriolevane::RecordCodecStory },
      { "queue router", oriolevane::QueueRouterStory },
      { "metrics text", oriolevane::MetricsTextStory } });
}
