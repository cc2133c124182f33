// The stories of this module's test program.
#pragma once

#include "framework/testing/story.h"

namespace oriolevane::placement {

void
ChaosStory(testing::Section& aStory);
void
FencingStory(testing::Section& aStory);
void
GangStory(testing::Section& aStory);
void
HealthStory(testing::Section& aStory);
void
IntakeStory(testing::Section& aStory);
void
LeaseStory(testing::Section& aStory);
void
QueueStory(testing::Section& aStory);

} // namespace oriolevane::placement
