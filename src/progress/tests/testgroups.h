// Declares the test groups of this module.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane {

void
RunProgressTests(testing::Section& aRoot);

} // namespace oriolevane
