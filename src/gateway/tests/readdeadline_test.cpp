#include "gateway/internal/readdeadline.h"

#include "framework/testing/testgroup.h"

namespace oriolevane::gateway {

using testing::Section;
using namespace std::chrono_literals;

void
ReadDeadlineTests(Section& aRoot)
{
  const TimePoint end{ 1s };
  aRoot.Describe("while time is left", [end](Section& aSection) {
    aSection.It("allows a read, however short the time", [end] {
      // A read that is refused before the deadline would look like the end of
      // the message.
      for (auto left = 1ns; left < 3000ns; ++left) {
        const ReadDeadline deadline(end);
        CPPUNIT_ASSERT(!deadline.HasPassed(end - left));
        CPPUNIT_ASSERT(deadline.ReadTimeout(end - left).has_value());
      }
    });
    aSection.It("has passed when such a read times out", [end] {
      for (const auto left : { 1ns, 999ns, 1001ns, 20'000'000ns }) {
        const ReadDeadline deadline(end);
        const TimePoint start = end - left;
        const auto timeout = deadline.ReadTimeout(start);
        CPPUNIT_ASSERT(timeout.has_value());
        CPPUNIT_ASSERT(deadline.HasPassed(start + *timeout));
      }
    });
  });
  aRoot.It("allows no read once it has passed", [end] {
    const ReadDeadline deadline(end);
    CPPUNIT_ASSERT(!deadline.ReadTimeout(end).has_value());
    CPPUNIT_ASSERT(!deadline.ReadTimeout(end + 1ns).has_value());
  });
}

} // namespace oriolevane::gateway
