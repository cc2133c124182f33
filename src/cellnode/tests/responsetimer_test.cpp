#include "cellnode/responsetimer.h"
#include "cellnode/tests/stories.h"

namespace oriolevane {

using testing::Section;
using namespace cellnode;
using namespace std::chrono_literals;

namespace {

ResponseTimer
AfterMany(Duration aRoundTrip)
{
  ResponseTimer timer;
  for (int answer = 0; answer < 50; ++answer) {
    timer.OnAnswer(aRoundTrip);
  }
  return timer;
}

} // namespace

void
ResponseTimerStory(Section& aStory)
{
  aStory.It("waits for the first timeout until there is an answer", [] {
    CPPUNIT_ASSERT(ResponseTimer({ .mFirst = 200ms }).Timeout(1) == 200ms);
  });
  aStory.It("does not go below the shortest timeout",
            [] { CPPUNIT_ASSERT(AfterMany(5ms).Timeout(1) == 100ms); });
  aStory.It("waits longer with each attempt, up to the longest", [] {
    const ResponseTimer timer = AfterMany(5ms);
    CPPUNIT_ASSERT(timer.Timeout(2) == 200ms);
    CPPUNIT_ASSERT(timer.Timeout(3) == 400ms);
    CPPUNIT_ASSERT(timer.Timeout(40) == 2000ms);
  });
  aStory.It("covers a store that has become slow after one answer", [] {
    ResponseTimer timer = AfterMany(5ms);
    timer.OnAnswer(600ms);
    CPPUNIT_ASSERT(timer.Timeout(1) > 600ms);
  });
  aStory.It("never waits less than a slow store takes",
            [] { CPPUNIT_ASSERT(AfterMany(3000ms).Timeout(1) >= 3000ms); });
  aStory.It("expects a slow answer again as soon as there was one", [] {
    ResponseTimer timer = AfterMany(5ms);
    timer.OnAnswer(1500ms);
    CPPUNIT_ASSERT(timer.Expected() == 1500ms);
    timer.OnAnswer(5ms);
    CPPUNIT_ASSERT(timer.Expected() < 300ms);
  });
  aStory.It("comes back down when the store is quick again", [] {
    ResponseTimer timer = AfterMany(600ms);
    for (int answer = 0; answer < 40; ++answer) {
      timer.OnAnswer(5ms);
    }
    CPPUNIT_ASSERT(timer.Timeout(1) < 200ms);
  });
}

} // namespace oriolevane
