// Declares the test groups of this module.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane {

void
CrashPlacementTests(testing::Section& aRoot);
void
TaskCrashesTests(testing::Section& aRoot);

void
WorkerFailuresTests(testing::Section& aRoot);

} // namespace oriolevane
