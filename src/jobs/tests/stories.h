// Tests of the scheduler of a shard and of its record write queue.
#pragma once

#include "framework/testing/story.h"

namespace oriolevane {

void
JobLifecycleStory(testing::Section& aStory);
void
GangStory(testing::Section& aStory);
void
OwnerTakeoverStory(testing::Section& aStory);
void
WorkerFailureStory(testing::Section& aStory);
void
AdviceStory(testing::Section& aStory);
void
RecordWriteQueueStory(testing::Section& aStory);
void
LoadStory(testing::Section& aStory);
void
RandomFaultStory(testing::Section& aStory);

} // namespace oriolevane
