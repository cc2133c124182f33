// Tests of the estimates of worker speed and the decisions made from them.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane {

void
RelativeRunTimeTests(testing::Section& aRoot);
void
SpeedPreferenceTests(testing::Section& aRoot);
void
StepRunTimesTests(testing::Section& aRoot);
void
StragglerPolicyTests(testing::Section& aRoot);

} // namespace oriolevane
