#include "progress/runprogress.h"

#include "progress/tests/testgroups.h"

namespace oriolevane {

using progress::RunProgress;
using testing::Section;
using namespace std::chrono_literals;

namespace {

const TimePoint kStart{ 1000s };

} // namespace

void
RunProgressTests(Section& aRoot)
{
  aRoot.Describe("the expected end of a run", [](Section& aSection) {
    aSection.It("is not known before it has made progress", [] {
      RunProgress run(kStart);
      CPPUNIT_ASSERT(!run.ExpectedEnd().has_value());
      run.Report(0, kStart + 100ms);
      run.Report(2, kStart + 300ms);
      CPPUNIT_ASSERT(!run.ExpectedEnd().has_value());
    });
    aSection.It("follows from its progress since the start", [] {
      RunProgress run(kStart);
      run.Report(25, kStart + 500ms);
      CPPUNIT_ASSERT(run.ExpectedEnd() == kStart + 2s);
    });
    aSection.It("does not change while no progress is reported", [] {
      RunProgress run(kStart);
      run.Report(25, kStart + 500ms);
      run.Report(25, kStart + 900ms);
      CPPUNIT_ASSERT(run.ExpectedEnd() == kStart + 2s);
    });
    aSection.It("does not count the time before the progress begins", [] {
      RunProgress run(kStart);
      run.Report(0, kStart + 1s);
      run.Report(50, kStart + 2s);
      CPPUNIT_ASSERT(run.ExpectedEnd() == kStart + 3s);
    });
    aSection.It("of a resumed run counts from its first report", [] {
      RunProgress run;
      run.Report(60, kStart);
      run.Report(70, kStart + 1s);
      CPPUNIT_ASSERT(run.ExpectedEnd() == kStart + 4s);
    });
  });
}

} // namespace oriolevane
