#include "membership/membership.h"

#include <future>

#include "membership/tests/stories.h"
#include "standins/platform/scriptedplatform.h"

namespace oriolevane::membership {

using testing::Section;

void
MembershipThreadStory(Section& aStory)
{
  aStory.It("takes a row, hands it over when it leaves, and signs off", [] {
    standins::ScriptedPlatform platform;
    std::promise<AcquiredRow> acquired;
    std::promise<void> left;
    Membership* self = nullptr;
    Membership membership(
      { .mPlanner = { .mNode = NodeId("a"),
                      .mIncarnation = Incarnation(1),
                      .mPartitions = 1,
                      .mShards = 0 } },
      platform.Table(),
      { .mOnAcquired =
          [&](const AcquiredRow& aRow) { acquired.set_value(aRow); },
        .mOnHandOver = [&](const RowRef& aRow) { self->Release(aRow); },
        .mOnLeft = [&] { left.set_value(); } });
    self = &membership;
    membership.Start();
    CPPUNIT_ASSERT(acquired.get_future().get().mEpoch == Epoch(1));
    CPPUNIT_ASSERT(membership.Leave());
    left.get_future().get();
    membership.Stop();
    CPPUNIT_ASSERT(!platform.Store().Read("nodes/a").Exists());
    CPPUNIT_ASSERT(!membership.Leave());
  });
}

} // namespace oriolevane::membership
