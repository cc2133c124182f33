// Declares the test groups of this module.
#pragma once

#include "framework/testing/testgroup.h"

namespace oriolevane {

void
CellJournalTests(testing::Section& aRoot);
void
CompressionTests(testing::Section& aRoot);
void
CellLoaderTests(testing::Section& aRoot);
void
StaleAnswerTests(testing::Section& aRoot);
void
OwnershipPolicyTests(testing::Section& aRoot);
void
OwnerSessionTests(testing::Section& aRoot);
void
PredecessorTests(testing::Section& aRoot);
void
CallerRequestHandlerTests(testing::Section& aRoot);
void
RemovedQueueTests(testing::Section& aRoot);
void
CallerOverloadTests(testing::Section& aRoot);
void
CallerAuthorizerTests(testing::Section& aRoot);
void
ConfigurationTrackerTests(testing::Section& aRoot);
void
PeerLinksTests(testing::Section& aRoot);
void
HostilePeersTests(testing::Section& aRoot);
void
PeerMessagesTests(testing::Section& aRoot);
void
LoopLagMonitorTests(testing::Section& aRoot);
void
YieldPolicyTests(testing::Section& aRoot);
void
AdviceAdmissionTests(testing::Section& aRoot);
void
AdviceDispatcherTests(testing::Section& aRoot);
void
PendingCallsTests(testing::Section& aRoot);
void
TimeoutEstimatorTests(testing::Section& aRoot);
void
WorkerCallsTests(testing::Section& aRoot);
void
RelaySelectorTests(testing::Section& aRoot);
void
RelayedCallsTests(testing::Section& aRoot);
void
StoreActivityTests(testing::Section& aRoot);
void
TableWatchTests(testing::Section& aRoot);
void
RecordCodecTests(testing::Section& aRoot);
void
QueueRouterTests(testing::Section& aRoot);
void
MalformedInputTests(testing::Section& aRoot);
void
MetricsTextTests(testing::Section& aRoot);

} // namespace oriolevane
