// Lists the groups of tests in this module's test program.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane::coordination {

void
AdmissionTests(oriolevane::testing::Section& aRoot);
void
GangTests(oriolevane::testing::Section& aRoot);
void
GuaranteeTests(oriolevane::testing::Section& aRoot);
void
RandomFaultTests(oriolevane::testing::Section& aRoot);
void
RecoveryTests(oriolevane::testing::Section& aRoot);
void
RequestLifecycleTests(oriolevane::testing::Section& aRoot);

} // namespace oriolevane::coordination
