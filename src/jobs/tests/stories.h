// Tests of the scheduler of a shard and of its change log.
#pragma once

#include "framework/testing/story.h"

namespace oriolevane {

void
JobLifeStory(testing::Section& aStory);
void
GangStory(testing::Section& aStory);
void
TakeOverStory(testing::Section& aStory);
void
WorkerTroubleStory(testing::Section& aStory);
void
AdviceStory(testing::Section& aStory);
void
RecordLogStory(testing::Section& aStory);
void
LoadStory(testing::Section& aStory);
void
RandomTroubleStory(testing::Section& aStory);

} // namespace oriolevane
