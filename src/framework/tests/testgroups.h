// Declares the test groups of the framework module.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane {

void
BoundedQueueTests(testing::Section& aRoot);
void
LogRateLimiterTests(testing::Section& aRoot);

} // namespace oriolevane
