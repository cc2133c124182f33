// The stories of this module's test program.
#pragma once

#include "framework/testing/story.h"

namespace oriolevane::placement {

void
FencingStory(testing::Section& aStory);

} // namespace oriolevane::placement
