// Declares the test groups of the eventloop module.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane {

void
ConnectionTableTests(testing::Section& aRoot);
void
FrameLinkTests(testing::Section& aRoot);
void
HttpExchangeTests(testing::Section& aRoot);
void
HostileServerTests(testing::Section& aRoot);

} // namespace oriolevane
