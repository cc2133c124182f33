// The stories of this module's test program.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::journal {

void
GroupCommitStory(testing::Section& aStory);
void
JournalThreadStory(testing::Section& aStory);
void
LogCodecStory(testing::Section& aStory);
void
PaceAndHealthStory(testing::Section& aStory);
void
RandomScheduleStory(testing::Section& aStory);
void
RecoveryStory(testing::Section& aStory);
void
SnapshotStory(testing::Section& aStory);

} // namespace oriolevane::journal
