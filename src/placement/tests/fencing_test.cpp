#include "placement/tests/harness.h"
#include "placement/tests/testgroups.h"

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;
using testing::Section;

namespace {

void
TestNewWorker(Section& aSection)
{
  aSection.It(
    "receives the epoch in a command without orders before it gets tasks", [] {
      Harness harness(1);
      harness.HandleEvent(MakePlaceTasks("a"));
      const protocol::WorkerCommand& first = harness.mCommands.front();
      CPPUNIT_ASSERT(first.mEpoch == Epoch{ 1 });
      CPPUNIT_ASSERT(first.mOrders.empty());
      CPPUNIT_ASSERT(first.mLeaseAnchor.count() == 0);
      CPPUNIT_ASSERT(harness.State("a") == TaskState::Running);
    });
  aSection.It("gets no tasks while it reports a lower epoch", [] {
    Placer placer({ .mShard = ShardId{ 3 }, .mEpoch = Epoch{ 7 } });
    const TimePoint now{ std::chrono::hours{ 1 } };
    placer.Handle(WorkersListed{ { MakeWorkerInfo(0) } }, now);
    placer.Handle(protocol::WorkerReport{ .mWorker = WorkerId{ "w-0" },
                                          .mIncarnation = Incarnation{ 1 },
                                          .mSequence = 1,
                                          .mShard = ShardId{ 3 },
                                          .mHighestEpoch = Epoch{ 6 } },
                  now);
    protocol::PlaceTasks placeTasks = MakePlaceTasks("a");
    placeTasks.mShardEpoch = Epoch{ 7 };
    for (const PlacerAction& action : placer.Handle(placeTasks, now)) {
      CPPUNIT_ASSERT(!std::holds_alternative<SendToWorker>(action));
    }
  });
  aSection.It("that reports a higher epoch deposes the placer", [] {
    Harness harness(1);
    harness.Worker(0).Apply({ .mWorker = WorkerId{ "w-0" },
                              .mShard = ShardId{ 3 },
                              .mEpoch = Epoch{ 2 },
                              .mSequence = 1 },
                            {},
                            false);
    harness.HandleEvent(harness.Worker(0).Report());
    CPPUNIT_ASSERT(harness.mPlacer->IsDeposed());
    harness.HandleEvent(MakePlaceTasks("a"));
    CPPUNIT_ASSERT(harness.StartCount("a") == 0);
  });
}

} // namespace

void
FencingTests(Section& aRoot)
{
  aRoot.Describe("a new worker", TestNewWorker);
}

} // namespace oriolevane::placement
