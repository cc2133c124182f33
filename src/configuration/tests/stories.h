// The stories of this module's test program.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::configuration {

void
CellPolicyStory(testing::Section& aStory);

void
ConfigurationStoreStory(testing::Section& aStory);

} // namespace oriolevane::configuration
