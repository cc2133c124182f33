// Declares the test groups of this module.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane {

void
KeyTableTests(testing::Section& aRoot);
void
QuotaLedgerTests(testing::Section& aRoot);
void
ShareTests(testing::Section& aRoot);

} // namespace oriolevane
