#include "journal/tests/stories.h"

int
main(int aCount, char** aArguments)
{
  using namespace oriolevane::journal;
  return oriolevane::testing::RunTests(
    aCount,
    aArguments,
    { { "group commit", GroupCommitStory },
      { "recovery", RecoveryStory },
      { "snapshots", SnapshotStory },
      { "random schedules", RandomScheduleStory },
      { "log rows", LogCodecStory },
      { "pace and health", PaceAndHealthStory },
      { "journal threads", JournalThreadStory } });
}
