#include "framework/boundedqueue.h"
#include "framework/tests/testgroups.h"

namespace oriolevane {

using testing::Section;

void
BoundedQueueTests(Section& aRoot)
{
  aRoot.Describe("a full queue", [](Section& aSection) {
    aSection.It("refuses another item and keeps the queued ones", [] {
      BoundedQueue<int> queue(2);
      CPPUNIT_ASSERT(queue.TryPush(1));
      CPPUNIT_ASSERT(queue.TryPush(2));
      CPPUNIT_ASSERT(!queue.TryPush(3));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                           queue.PopMany(10, Duration::zero()).size());
    });
  });
  aRoot.Describe("a closed queue", [](Section& aSection) {
    aSection.It("refuses new items but returns the queued ones", [] {
      BoundedQueue<int> queue(2);
      CPPUNIT_ASSERT(queue.Push(7));
      queue.Close();
      CPPUNIT_ASSERT(!queue.Push(8));
      CPPUNIT_ASSERT_EQUAL(7, *queue.Pop(Duration::zero()));
      CPPUNIT_ASSERT(!queue.Pop(Duration::zero()).has_value());
    });
  });
}

} // namespace oriolevane
