#include "placement/tests/harness.h"
#include "placement/tests/stories.h"

namespace oriolevane::placement {

using protocol::TaskEndReason;
using protocol::TaskState;
using testing::Section;

namespace {

void
NewWorker(Section& aSection)
{
  aSection.It("is told the epoch without orders before it gets work", [] {
    Harness harness(1);
    harness.Give(TestOrder("a"));
    const protocol::WorkerCommand& first = harness.mCommands.front();
    CPPUNIT_ASSERT(first.mEpoch == Epoch{ 1 });
    CPPUNIT_ASSERT(first.mOrders.empty());
    CPPUNIT_ASSERT(first.mLeaseAnchor.count() == 0);
    CPPUNIT_ASSERT(harness.State("a") == TaskState::Running);
  });
  aSection.It("gets no work while its report shows a lower epoch", [] {
    Placer placer({ .mShard = ShardId{ 3 }, .mEpoch = Epoch{ 7 } });
    const TimePoint now{ std::chrono::hours{ 1 } };
    placer.Handle(WorkersListed{ { TestWorker(0) } }, now);
    placer.Handle(protocol::WorkerReport{ .mWorker = WorkerId{ "w-0" },
                                          .mIncarnation = Incarnation{ 1 },
                                          .mSequence = 1,
                                          .mShard = ShardId{ 3 },
                                          .mHighestEpoch = Epoch{ 6 } },
                  now);
    protocol::PlaceTasks order = TestOrder("a");
    order.mShardEpoch = Epoch{ 7 };
    for (const PlacerAction& action : placer.Handle(order, now)) {
      CPPUNIT_ASSERT(!std::holds_alternative<SendToWorker>(action));
    }
  });
  aSection.It("that knows a higher epoch deposes the placer", [] {
    Harness harness(1);
    harness.Worker(0).Apply({ .mWorker = WorkerId{ "w-0" },
                              .mShard = ShardId{ 3 },
                              .mEpoch = Epoch{ 2 },
                              .mSequence = 1 },
                            {},
                            false);
    harness.Give(harness.Worker(0).Report());
    CPPUNIT_ASSERT(harness.mPlacer->IsDeposed());
    harness.Give(TestOrder("a"));
    CPPUNIT_ASSERT(harness.Starts("a") == 0);
  });
}

} // namespace

void
FencingStory(Section& aStory)
{
  aStory.Describe("a new worker", NewWorker);
}

} // namespace oriolevane::placement
