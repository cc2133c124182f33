// Stories of the event loop's sockets.
#pragma once

#include "framework/testing/story.h"

namespace oriolevane {

void
FrameLinkStory(testing::Section& aStory);
void
HttpExchangeStory(testing::Section& aStory);

} // namespace oriolevane
