// Tests of quotas, guarantees and shares of teams.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane {

void
QuotaLedgerTests(testing::Section& aRoot);
void
ShareTests(testing::Section& aRoot);

} // namespace oriolevane
