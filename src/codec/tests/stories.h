// The stories of this module's test program.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::codec {

void
RoundTripStory(testing::Section& aStory);

void
HostileFrameStory(testing::Section& aStory);

} // namespace oriolevane::codec
