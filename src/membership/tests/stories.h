// The stories of this module's test program.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::membership {

void
OwnershipStory(testing::Section& aStory);
void
RowCodecStory(testing::Section& aStory);
void
PeerHealthStory(testing::Section& aStory);
void
MembershipThreadStory(testing::Section& aStory);

} // namespace oriolevane::membership
