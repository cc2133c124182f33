// Declares the test suites of this module.
#pragma once

#include "framework/testing/story.h"

namespace oriolevane {

void
CellJournalStory(testing::Section& aStory);
void
OwnershipPolicyStory(testing::Section& aStory);
void
AdviceDispatcherStory(testing::Section& aStory);
void
PendingCallsStory(testing::Section& aStory);
void
TimeoutEstimatorStory(testing::Section& aStory);
void
WorkerCallsStory(testing::Section& aStory);
void
RecordCodecStory(testing::Section& aStory);
void
QueueRouterStory(testing::Section& aStory);
void
MetricsTextStory(testing::Section& aStory);

} // namespace oriolevane
