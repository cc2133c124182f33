// The stories of this module's test program.
#pragma once

#include "framework/testing/story.h"

namespace oriolevane {

void
BoundedRingStory(testing::Section& aStory);
void
LogBudgetStory(testing::Section& aStory);

} // namespace oriolevane
