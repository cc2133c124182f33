#include "framework/boundedring.h"
#include "framework/tests/stories.h"

namespace oriolevane {

using testing::Section;

void
BoundedRingStory(Section& aStory)
{
  aStory.Describe("a full ring", [](Section& aSection) {
    aSection.It("refuses another item and keeps those it has", [] {
      BoundedRing<int> ring(2);
      CPPUNIT_ASSERT(ring.TryPush(1));
      CPPUNIT_ASSERT(ring.TryPush(2));
      CPPUNIT_ASSERT(!ring.TryPush(3));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                           ring.PopMany(10, Duration::zero()).size());
    });
  });
  aStory.Describe("a closed ring", [](Section& aSection) {
    aSection.It("refuses new items but gives out what was queued", [] {
      BoundedRing<int> ring(2);
      CPPUNIT_ASSERT(ring.Push(7));
      ring.Close();
      CPPUNIT_ASSERT(!ring.Push(8));
      CPPUNIT_ASSERT_EQUAL(7, *ring.Pop(Duration::zero()));
      CPPUNIT_ASSERT(!ring.Pop(Duration::zero()).has_value());
    });
  });
}

} // namespace oriolevane
