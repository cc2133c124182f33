// The stories of this module's test program.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::peers {

void
FramingStory(testing::Section& aStory);

void
PeerTableStory(testing::Section& aStory);

void
PeerMeshStory(testing::Section& aStory);

void
HostilePeerStory(testing::Section& aStory);

} // namespace oriolevane::peers
