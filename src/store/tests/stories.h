// The stories of this module's test program.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::store {

void
BadAnswersStory(testing::Section& aStory);
void
TableWireStory(testing::Section& aStory);

} // namespace oriolevane::store
