// Test groups of the placement module, one per area of the placer. main.cpp
// runs them.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::placement {

void
ChaosTests(testing::Section& aRoot);
void
FencingTests(testing::Section& aRoot);
void
GangTests(testing::Section& aRoot);
void
HealthTests(testing::Section& aRoot);
void
IntakeTests(testing::Section& aRoot);
void
LeaseTests(testing::Section& aRoot);
void
QueueTests(testing::Section& aRoot);

} // namespace oriolevane::placement
