// The stories of this test program.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::standins {

void
HttpPlatformStory(testing::Section& aStory);
void
TakeoverStory(testing::Section& aStory);

} // namespace oriolevane::standins
