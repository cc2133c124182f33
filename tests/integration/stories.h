// The stories of the integration tests.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::integration {

void
WholePathStory(testing::Section& aStory);
void
FailoverStory(testing::Section& aStory);
void
OperatorsStory(testing::Section& aStory);

} // namespace oriolevane::integration
