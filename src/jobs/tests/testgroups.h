// Tests of the scheduler of a shard and of its record write queue.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane {

void
JobLifecycleTests(testing::Section& aRoot);
void
RepeatedJobTests(testing::Section& aRoot);
void
JobMemoryTests(testing::Section& aRoot);
void
GangTests(testing::Section& aRoot);
void
GangsOfOthersTests(testing::Section& aRoot);
void
OwnerTakeoverTests(testing::Section& aRoot);
void
FinalStateTests(testing::Section& aRoot);
void
HandoverTests(testing::Section& aRoot);
void
RecoveredPolicyTests(testing::Section& aRoot);
void
EndedOwnershipTests(testing::Section& aRoot);
void
CrashingTaskTests(testing::Section& aRoot);
void
WorkerFailureTests(testing::Section& aRoot);
void
CapacityTests(testing::Section& aRoot);
void
WaitingTaskTests(testing::Section& aRoot);
void
MalformedReportTests(testing::Section& aRoot);
void
AdviceTests(testing::Section& aRoot);
void
LostQueryTests(testing::Section& aRoot);
void
RecordWriteQueueTests(testing::Section& aRoot);
void
RelativeRunTimeTests(testing::Section& aRoot);
void
SpeedPreferenceTests(testing::Section& aRoot);
void
LoadTests(testing::Section& aRoot);
void
QuotaTests(testing::Section& aRoot);
void
RandomFaultTests(testing::Section& aRoot);

} // namespace oriolevane
