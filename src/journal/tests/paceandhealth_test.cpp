#include "journal/commitpace.h"
#include "journal/storehealth.h"
#include "journal/tests/stories.h"

namespace oriolevane::journal {

using testing::Section;

void
PaceAndHealthStory(Section& aStory)
{
  aStory.It("more nodes commit more rarely, within the budget", [] {
    const CommitPace pace{ .mWriteBudget = 250, .mPartitions = 16 };
    Duration last{ 0 };
    for (const std::uint32_t nodes : { 1U, 8U, 16U, 60U }) {
      const Duration interval = CommitInterval(pace, nodes);
      const double writes = 2.0 * 16 + std::min(nodes, 16U);
      const double seconds = std::chrono::duration<double>(interval).count();
      CPPUNIT_ASSERT(writes / seconds <= 250.001);
      CPPUNIT_ASSERT(interval >= last);
      last = interval;
    }
  });
  aStory.It("a small cell commits at the shortest interval", [] {
    CPPUNIT_ASSERT(CommitInterval({ .mPartitions = 2 }, 3) ==
                   std::chrono::milliseconds(100));
  });
  aStory.It("one failure or one success does not change the health", [] {
    StoreHealthTracker tracker;
    CPPUNIT_ASSERT(!tracker.OnResult(false));
    CPPUNIT_ASSERT(!tracker.OnResult(true));
    CPPUNIT_ASSERT(!tracker.OnResult(false));
    CPPUNIT_ASSERT(tracker.OnResult(false) == StoreHealth::Down);
    CPPUNIT_ASSERT(!tracker.OnResult(true));
    CPPUNIT_ASSERT(!tracker.OnResult(false));
    CPPUNIT_ASSERT(!tracker.OnResult(true));
    CPPUNIT_ASSERT(tracker.OnResult(true) == StoreHealth::Up);
  });
}

} // namespace oriolevane::journal
